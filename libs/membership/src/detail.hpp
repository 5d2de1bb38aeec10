#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "godwitbarrow/membership/decide.hpp"

/// Parts of `decide`.
namespace godwitbarrow::membership::detail
{

/// One call of `decide`.
struct step
{
    state& it;
    core::time_point now;
    std::vector<action>& out;
};

// hash.cpp

/// The same on every host and in every version of the program.
std::uint64_t hash_of(std::string_view text, std::uint64_t seed);
/// The names with the highest hashes, best first.
std::vector<core::host_id> best_hosts(const std::vector<core::host_id>& hosts,
                                      std::uint64_t seed, std::size_t n);
std::size_t bucket_of(std::string_view key);

// hosts.cpp

bool suspected(const state& it, const core::host_id& host);
/// Hosts of a data centre without this one and without suspected ones.
std::vector<core::host_id> peers_in(const state& it,
                                    const core::data_centre_id& centre);
void read_list_if_due(step& at);
void take_list(step& at, const host_list_read& what);
bool take_delta(step& at, const host_delta& what);
void take_chunk(step& at, const core::host_id& from, const host_chunk& what);
/// Emits `hosts_changed` if the usable hosts are not those announced last.
void announce_hosts(step& at);

// items.cpp

bool take_view(state& it, const group_view& what);
bool take_report(step& at, const host_report& what);
/// Changes this host's own report and pushes it.
void publish_report(step& at, host_report own);
void take_settings(step& at, const settings_delta& what);
void accept_settings(step& at, const settings_delta& what);
void forget_missing_hosts(step& at);

// peers.cpp

void heard_from(step& at, const core::host_id& host);
void expect_answer(step& at, const core::host_id& host);
void take_probe(step& at, const probe_answered& what);
void take_link(step& at, const link_changed& what);
void review_peers(step& at);

// spread.cpp

summary own_summary(const state& it, bool reply);
void begin_round_if_due(step& at);
void take_summary(step& at, const core::host_id& from, const summary& what);
void request_news(step& at, const core::host_id& from);
void push_news(step& at);

// answer.cpp

void answer_request(step& at, const core::host_id& from,
                    const news_request& what);
/// Moves as much of `from` as fits in one message.
news take_message(news& from, std::size_t most);
std::size_t count_items(const news& it);

}  // namespace godwitbarrow::membership::detail
