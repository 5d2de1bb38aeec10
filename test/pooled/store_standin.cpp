#include "store_standin.hpp"

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

#include "godwitbarrow/core/clock.hpp"

namespace godwitbarrow::test
{
namespace detail
{
namespace
{

namespace json = boost::json;
namespace base64 = boost::beast::detail::base64;

std::string encode(const std::string& text)
{
    std::string out(base64::encoded_size(text.size()), '\0');
    out.resize(base64::encode(out.data(), text.data(), text.size()));
    return out;
}

std::string decode(const std::string& text)
{
    std::string out(base64::decoded_size(text.size()), '\0');
    out.resize(base64::decode(out.data(), text.data(), text.size()).first);
    return out;
}

json::object describe(const std::string& table, const std::string& key,
                      const store_row& row)
{
    json::object out{
        {"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
    if (row.deleted)
        out["tombstone"] = true;
    else
        out["value"] = encode(row.value);
    return out;
}

std::int64_t store_time()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               core::runtime_clock::now().time_since_epoch())
        .count();
}

/// Answers with the era of the store.
void answer(const store_standin& s, const standins::http_session_ptr& to,
            standins::http_reply what,
            std::chrono::milliseconds delay = std::chrono::milliseconds(0))
{
    what.headers["Store-Era"] = std::to_string(s.era);
    standins::reply(to, std::move(what), delay);
}

void answer_rows(const store_standin& s, const standins::http_session_ptr& to,
                 json::array rows, bool has_more = false)
{
    const json::object body{{"rows", std::move(rows)},
                            {"has_more", has_more},
                            {"ver", s.version},
                            {"now_ms", store_time()}};
    answer(s, to, {200, json::serialize(body), false}, s.faults.delay);
}

/// Rows that changed after a version, the oldest first.
json::array changes(store_standin& s, const std::string& table,
                    std::uint64_t after)
{
    std::map<std::uint64_t, json::object> found;
    for (const auto& [key, row] : s.tables[table])
        if (row.version > after)
            found.emplace(row.version, describe(table, key, row));
    json::array out;
    for (auto& [version, row] : found)
        out.push_back(std::move(row));
    return out;
}

void wake(store_standin& s)
{
    auto calls = std::exchange(s.waiting, {});
    for (auto& it : calls)
    {
        auto rows = changes(s, it.table, it.after);
        if (rows.empty())
            s.waiting.push_back(std::move(it));
        else
            answer_rows(s, it.session, std::move(rows));
    }
}

void apply(store_standin& s, store_standin::change what)
{
    s.tables[what.table][what.key] = what.row;
    s.history.push_back(std::move(what));
}

std::string text_of(const json::value& from, const char* key)
{
    return std::string(from.at(key).as_string());
}

store_standin::change written_row(const store_standin& s,
                                  const json::value& from)
{
    store_standin::change out{
        text_of(from, "table"),
        text_of(from, "key"),
        {decode(text_of(from, "value")), s.version, false}};
    if (s.rewrite)
        out.row.value = s.rewrite(out.table, out.key, out.row.value);
    return out;
}

standins::http_reply run_transaction(store_standin& s, const std::string& body)
{
    const auto call = json::parse(body);
    for (const auto& it : call.at("precondition").as_array())
    {
        const auto& table = s.tables[text_of(it, "table")];
        const auto row = table.find(text_of(it, "key"));
        const auto found = row == table.end() ? 0 : row->second.version;
        if (found != it.at("ver").to_number<std::uint64_t>())
            return {412, "{\"rows\":[]}", false};
    }
    ++s.version;
    for (const auto& it : call.at("puts").as_array())
        apply(s, written_row(s, it));
    wake(s);
    const json::object out{{"ver", s.version}, {"now_ms", store_time()}};
    return {200, json::serialize(out), false};
}

void list_rows(store_standin& s, const standins::http_session_ptr& to,
               const standins::http_request& req)
{
    const auto& table = req.query.at("table");
    const auto from = req.query.find("from");
    const auto end = req.query.find("to");
    json::array rows;
    bool has_more = false;
    for (const auto& [key, row] : s.tables[table])
    {
        if (row.deleted || (from != req.query.end() && key < from->second) ||
            (end != req.query.end() && key >= end->second))
            continue;
        has_more = rows.size() == s.page_limit;
        if (has_more)
            break;
        rows.push_back(describe(table, key, row));
    }
    answer_rows(s, to, std::move(rows), has_more);
    if (s.page_listed)
        s.page_listed();
}

void end_wait(store_standin& s, std::uint64_t number)
{
    const auto it =
        std::find_if(s.waiting.begin(), s.waiting.end(),
                     [&](const auto& n) { return n.number == number; });
    if (it == s.waiting.end())
        return;
    const auto to = it->session;
    s.waiting.erase(it);
    answer_rows(s, to, {});
}

void watch_rows(store_standin& s, const standins::http_session_ptr& to,
                const standins::http_request& req)
{
    const auto after = std::stoull(req.query.at("after"));
    if (std::exchange(s.history_lost, false) || after > s.version)
        return answer(s, to, {410, "{}", false});
    const auto number = ++s.last_call;
    s.waiting.push_back({to, req.query.at("table"), after, number});
    wake(s);
    const std::chrono::milliseconds wait(std::stoul(req.query.at("wait_ms")));
    standins::call_after(s.executor, wait,
                         [&s, number] { end_wait(s, number); });
}

standins::http_reply run_promotion(store_standin& s,
                                   const standins::http_request& req)
{
    const auto body = json::parse(req.body);
    const promotion_call call{
        text_of(body, "service"), text_of(body, "id"),
        req.headers.at("x-godwitbarrow-lease-holder"),
        std::stoull(req.headers.at("x-godwitbarrow-fence-token"))};
    auto& highest = s.tokens[call.group];
    if (call.token < highest)
        return {409, "{}", false};
    highest = call.token;
    return {s.promoted(call) ? 200U : 409U, "{}", false};
}

standins::http_reply run_change(store_standin& s,
                                const standins::http_request& req)
{
    if (req.path == "/rows-tx")
        return run_transaction(s, req.body);
    return run_promotion(s, req);
}

/// Whether this change gets no answer; spread evenly over changes.
bool is_lost(store_standin& s)
{
    s.lost_counter += s.faults.lost_percent;
    if (s.lost_counter < 100)
        return false;
    s.lost_counter -= 100;
    return true;
}

void serve(store_standin& s, const standins::http_session_ptr& to,
           const standins::http_request& req)
{
    ++s.calls;
    if (s.faults.down)
        return answer(s, to, {503, "{}", false});
    if (req.path == "/rows-get")
        return list_rows(s, to, req);
    if (req.path == "/rows-feed")
        return watch_rows(s, to, req);
    if (!is_lost(s))
        return answer(s, to, run_change(s, req), s.faults.delay);
    standins::call_after(s.executor, s.faults.late,
                         [&s, req] { run_change(s, req); });
}

}  // namespace
}  // namespace detail

store_standin::store_standin(boost::asio::io_context& io)
    : executor(io.get_executor())
{
    standins::http_hooks hooks;
    hooks.on_request = [this](const standins::http_session_ptr& to,
                              const standins::http_request& req)
    {
        detail::serve(*this, to, req);
    };
    hooks.on_close = [](std::uint64_t) {
    };
    auto side = hooks;
    side.on_request = [this](const standins::http_session_ptr& to,
                             const standins::http_request& req)
    {
        if (side_refuses)
            return standins::reply(to, {503, "{}", false});
        detail::serve(*this, to, req);
    };
    server =
        standins::listen(io.get_executor(), "127.0.0.1", 0, std::move(hooks));
    side_server =
        standins::listen(io.get_executor(), "127.0.0.1", 0, std::move(side));
}

void store_standin::put(const std::string& table, const std::string& key,
                        const std::string& value)
{
    detail::apply(*this, {table, key, {value, ++version, false}});
    detail::wake(*this);
}

void store_standin::remove(const std::string& table, const std::string& key)
{
    detail::apply(*this, {table, key, {{}, ++version, true}});
    detail::wake(*this);
}

void store_standin::roll_back_to(std::uint64_t to)
{
    ++era;
    version = to;
    while (!history.empty() && history.back().row.version > to)
        history.pop_back();
    tables.clear();
    for (const auto& it : history)
        tables[it.table][it.key] = it.row;
    for (const auto& it : std::exchange(waiting, {}))
        detail::answer(*this, it.session, {503, "{}", false});
}

}  // namespace godwitbarrow::test
