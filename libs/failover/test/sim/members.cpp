#include <algorithm>

#include "world.hpp"

namespace godwitbarrow::failover::sim
{
namespace
{

constexpr milliseconds pull_interval{10};
// Below the contact timeout, so that a slow link does not count as a lost one.
constexpr milliseconds pull_timeout{450};
constexpr milliseconds contact_timeout{500};

core::error refusal()
{
    return {core::error_kind::fenced,
            "the member is in another term; read the group row"};
}

bool leads(const simulated_member& member)
{
    return member.status.role == core::member_role::primary;
}

std::size_t common_length(const std::vector<log_entry>& a,
                          const std::vector<log_entry>& b)
{
    auto n = std::min(a.size(), b.size());
    // Logs that agree at one entry agree before it.
    while (n > 0 && a[n - 1].id != b[n - 1].id)
        --n;
    return n;
}

/// Appends the entries sent by the primary to the log of a replica, after
/// truncating the divergent end of that log.
void take_entries(world& w, int m, const std::vector<log_entry>& sent,
                  std::size_t keep, core::log_number base)
{
    auto& member = w.members[m];
    member.log.resize(keep);
    member.log.insert(member.log.end(), sent.begin(), sent.end());
    member.base = base;
    member.last_contact = w.now;
    if (member.log.size() >= base)
        member.status.log_term = member.status.term;
    member.status.position = member.log.size();
    record_commits(w);
}

void serve_pull(world& w, int p, int m, core::term_number term)
{
    auto& primary = w.members[p];
    if (!answers(primary) || !leads(primary) || primary.status.term != term)
        return;
    const auto& replica = w.members[m];
    const auto number = replica.pull_number;
    const auto keep = common_length(primary.log, replica.log);
    const auto n = std::min(primary.log.size() - keep, replica.pull_limit);
    const auto first = primary.log.begin() + static_cast<std::ptrdiff_t>(keep);
    const std::vector<log_entry> sent(first,
                                      first + static_cast<std::ptrdiff_t>(n));
    const auto base = primary.base;
    send(w, member_node(p), member_node(m),
         [&w, p, m, term, number, sent, keep, base]
         {
             auto& receiver = w.members[m];
             if (!answers(receiver) || receiver.pull_number != number)
                 return;
             receiver.pull_until = w.now;
             // A fenced member accepts no entries of an older term.
             if (receiver.status.term == term && receiver.following == p &&
                 !leads(receiver))
                 take_entries(w, m, sent, keep, base);
         });
}

void pull(world& w, int m)
{
    auto& replica = w.members[m];
    const int p = replica.following;
    if (!answers(replica) || leads(replica) || p < 0 || p == m ||
        w.now < replica.pull_until)
        return;
    ++replica.pull_number;
    replica.pull_until = w.now + pull_timeout;
    const auto term = replica.status.term;
    send(w, member_node(m), member_node(p),
         [&w, p, m, term] { serve_pull(w, p, m, term); });
}

/// Hosts with an outdated view keep sending statements to an old primary, so
/// every member in the primary role receives writes.
void append_write(world& w, int m)
{
    auto& member = w.members[m];
    if (!answers(member) || !leads(member))
        return;
    member.log.push_back({member.status.term, ++w.write_count});
    member.status.position = member.log.size();
    record_commits(w);
}

void repeat(world& w, milliseconds interval, const std::function<void()>& run)
{
    after(w, interval,
          [&w, interval, run]
          {
              run();
              repeat(w, interval, run);
          });
}

}  // namespace

core::server_id server_name(int m)
{
    return {"member" + std::to_string(m)};
}

int member_index(const core::server_id& server)
{
    return server.value.back() - '0';
}

bool answers(const simulated_member& member)
{
    return member.process_up && !member.silent;
}

core::member_status status_of(const world& w, const simulated_member& member)
{
    auto status = member.status;
    status.primary_contact = !leads(member) && member.following >= 0 &&
                             w.now < member.last_contact + contact_timeout;
    return status;
}

core::result<core::member_status> serve_fence(world& w, int m,
                                              core::term_number term,
                                              const core::attempt_id& attempt)
{
    auto& member = w.members[m];
    if (term == member.status.term && member.attempt == attempt)
        return status_of(w, member);
    if (term <= member.status.term)
        return refusal();
    member.status.term = term;
    member.status.role = core::member_role::replica;
    member.attempt = attempt;
    member.following = -1;
    return status_of(w, member);
}

core::result<core::member_status> serve_promote(world& w, int m,
                                                core::term_number term,
                                                const core::attempt_id& attempt)
{
    auto& member = w.members[m];
    if (term != member.status.term || member.attempt != attempt)
        return refusal();
    if (leads(member))
        return status_of(w, member);
    member.status.role = core::member_role::primary;
    member.status.log_term = term;
    member.base = member.log.size();
    check_promotion(w, m);
    return status_of(w, member);
}

core::result<core::member_status> serve_follow(world& w, int m,
                                               core::term_number term,
                                               int primary)
{
    auto& member = w.members[m];
    if (term < member.status.term ||
        (term == member.status.term && leads(member)))
        return refusal();
    member.status.term = term;
    member.status.role = core::member_role::replica;
    if (member.following != primary)
    {
        member.following = primary;
        ++member.pull_number;
        member.pull_until = w.now;
    }
    return status_of(w, member);
}

void start_member(world& w, int m)
{
    repeat(w, pull_interval, [&w, m] { pull(w, m); });
    repeat(w, w.config.write_interval, [&w, m] { append_write(w, m); });
}

}  // namespace godwitbarrow::failover::sim
