#include <algorithm>

#include "world.hpp"

namespace godwitbarrow::failover::sim
{
namespace
{

constexpr milliseconds pull_interval{10};
constexpr milliseconds pull_timeout{200};
constexpr milliseconds contact_timeout{500};

core::error refusal()
{
    return {core::error_kind::fenced,
            "the member is in another term; read the group row"};
}

bool leads(const model_member& it)
{
    return it.status.role == core::member_role::primary;
}

std::size_t common_length(const std::vector<entry>& a,
                          const std::vector<entry>& b)
{
    auto n = std::min(a.size(), b.size());
    // Logs that agree at one entry agree before it.
    while (n > 0 && a[n - 1].id != b[n - 1].id)
        --n;
    return n;
}

/// A replica takes over what the primary sent, and drops what diverges.
void take_entries(world& w, int m, const std::vector<entry>& sent,
                  std::size_t keep, core::log_number base)
{
    auto& it = w.members[m];
    it.log.resize(keep);
    it.log.insert(it.log.end(), sent.begin(), sent.end());
    it.base = base;
    it.last_contact = w.now;
    if (it.log.size() >= base)
        it.status.log_term = it.status.term;
    it.status.position = it.log.size();
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
    const std::vector<entry> sent(first,
                                  first + static_cast<std::ptrdiff_t>(n));
    const auto base = primary.base;
    send(w, member_node(p), member_node(m),
         [&w, p, m, term, number, sent, keep, base]
         {
             auto& it = w.members[m];
             if (!answers(it) || it.pull_number != number)
                 return;
             it.pull_until = w.now;
             // A fenced member takes nothing from an older term.
             if (it.status.term == term && it.following == p && !leads(it))
                 take_entries(w, m, sent, keep, base);
         });
}

void pull(world& w, int m)
{
    auto& it = w.members[m];
    const int p = it.following;
    if (!answers(it) || leads(it) || p < 0 || p == m || w.now < it.pull_until)
        return;
    ++it.pull_number;
    it.pull_until = w.now + pull_timeout;
    const auto term = it.status.term;
    send(w, member_node(m), member_node(p),
         [&w, p, m, term] { serve_pull(w, p, m, term); });
}

/// Hosts with an old view keep sending statements to an old primary, so every
/// primary gets writes.
void append_write(world& w, int m)
{
    auto& it = w.members[m];
    if (!answers(it) || !leads(it))
        return;
    it.log.push_back({it.status.term, ++w.written});
    it.status.position = it.log.size();
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

int member_index(const core::server_id& it)
{
    return it.value.back() - '0';
}

bool answers(const model_member& it)
{
    return it.process_up && !it.silent;
}

core::member_status status_of(const world& w, const model_member& it)
{
    auto status = it.status;
    status.primary_contact = !leads(it) && it.following >= 0 &&
                             w.now < it.last_contact + contact_timeout;
    return status;
}

core::result<core::member_status> serve_fence(world& w, int m,
                                              core::term_number term,
                                              const core::attempt_id& attempt)
{
    auto& it = w.members[m];
    if (term == it.status.term && it.attempt == attempt)
        return status_of(w, it);
    if (term <= it.status.term)
        return refusal();
    it.status.term = term;
    it.status.role = core::member_role::replica;
    it.attempt = attempt;
    it.following = -1;
    return status_of(w, it);
}

core::result<core::member_status> serve_promote(world& w, int m,
                                                core::term_number term,
                                                const core::attempt_id& attempt)
{
    auto& it = w.members[m];
    if (term != it.status.term || it.attempt != attempt)
        return refusal();
    if (leads(it))
        return status_of(w, it);
    it.status.role = core::member_role::primary;
    it.status.log_term = term;
    it.base = it.log.size();
    check_promotion(w, m);
    return status_of(w, it);
}

core::result<core::member_status> serve_follow(world& w, int m,
                                               core::term_number term,
                                               int primary)
{
    auto& it = w.members[m];
    if (term < it.status.term || (term == it.status.term && leads(it)))
        return refusal();
    it.status.term = term;
    it.status.role = core::member_role::replica;
    it.following = primary;
    return status_of(w, it);
}

void start_member(world& w, int m)
{
    repeat(w, pull_interval, [&w, m] { pull(w, m); });
    repeat(w, w.how.write_interval, [&w, m] { append_write(w, m); });
}

}  // namespace godwitbarrow::failover::sim
