#include <utility>

#include "world.hpp"

namespace godwitbarrow::failover::sim
{
namespace
{

core::error unavailable()
{
    return {core::error_kind::store_unavailable,
            "the store did not answer before the deadline; check the platform"};
}

bool loses_answer(world& w)
{
    if (w.store.answers_to_lose == 0)
        return false;
    --w.store.answers_to_lose;
    return true;
}

/// Simulates one call of the store: it takes effect after half of its duration
/// and is answered after all of it, or fails at the deadline.
template <class T>
void call_store(world& w, int h, std::function<core::result<T>()> serve,
                std::function<void(core::result<T>)> done)
{
    const auto answered = std::make_shared<bool>(false);
    const auto reply = [&w, h, answered, done](core::result<T> result)
    {
        if (*answered)
            return;
        *answered = true;
        deliver(w, h, [done, result] { done(result); });
    };
    after(w, w.config.store_deadline, [reply] { reply(unavailable()); });
    if (w.store.down)
        return;
    const auto half = w.store.delay / 2;
    send(w, h, store_node,
         [&w, h, half, serve, reply]
         {
             after(w, half,
                   [&w, h, half, serve, reply]
                   {
                       if (w.store.down)
                           return;
                       const auto result = serve();
                       if (loses_answer(w))
                           return;
                       after(w, half,
                             [&w, h, reply, result] {
                                 send(w, store_node, h,
                                      [reply, result] { reply(result); });
                             });
                   });
         });
}

core::result<std::uint64_t> apply_write(world& w, const write_row& request)
{
    auto& store = w.store;
    if (store.before_write)
        std::exchange(store.before_write, nullptr)();
    if (request.expected_version != store.row.version)
        return core::error{
            core::error_kind::conflict,
            "another writer changed the row first; read the row"};
    if (request.row.term < store.row.row.term)
        record_violation(w, "the term of the row decreased");
    if (!request.row.primary && request.row.term == store.row.row.term)
        record_violation(w, "a term was claimed twice");
    store.row = {request.row, store.row.version + 1};
    return store.row.version;
}

}  // namespace

void serve_read(world& w, int h)
{
    call_store<versioned_row>(
        w, h, [&w]() -> core::result<versioned_row> { return w.store.row; },
        [&w, h](auto result) { process_event(w, h, row_read{result}); });
}

void serve_write(world& w, int h, const write_row& request)
{
    call_store<std::uint64_t>(
        w, h, [&w, request] { return apply_write(w, request); },
        [&w, h](auto result) { process_event(w, h, row_written{result}); });
}

}  // namespace godwitbarrow::failover::sim
