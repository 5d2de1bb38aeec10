#include "owner_fleet.hpp"
#include "pooled/mesh.hpp"
#include "pooled/relay.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::test;
using relay::item_kind;

namespace
{

/// What an owner may hand to the link of a host that takes nothing.
constexpr std::uint64_t max_handed_bytes = std::uint64_t{256} * 1024;
constexpr std::size_t answer_bytes = std::size_t{2} * 1024 * 1024;

/// An owner with a long answer for a caller of a host that takes nothing.
struct frozen_entry : owner_fleet
{
    caller it{port_of(entry()), "newest"};
    proxy::pooled::app& owner;
    core::host_id entry_name;
    pooler::session_number session = 0;
    std::promise<void> thaw;
    bool frozen = false;

    frozen_entry() : owner(owner_of_first_answer())
    {
        entry_name = entry().app->settings.name;
        auto& relays = entry().app->relays;
        std::lock_guard lock(relays.mutex);
        session = relays.outbound.begin()->first;
    }

    ~frozen_entry()
    {
        resume();
    }

    proxy::pooled::app& owner_of_first_answer()
    {
        it.line();
        return *owner_in_use().app;
    }

    void freeze()
    {
        std::promise<void> begun;
        asio::post(entry().app->io,
                   [&]
                   {
                       begun.set_value();
                       thaw.get_future().wait();
                   });
        begun.get_future().wait();
        frozen = true;
    }

    void resume()
    {
        if (std::exchange(frozen, false))
            thaw.set_value();
    }

    void send(item_kind kind, pooler::session_number number, std::string bytes)
    {
        proxy::pooled::detail::send_item(
            owner, entry_name, {kind, number, std::move(bytes), false, true});
    }

    /// Bytes of relayed sessions that were handed to the link.
    std::uint64_t handed() const
    {
        for (auto& load : proxy::pooled::list_link_loads(owner))
            if (load.to == entry_name)
                return load.sent[peer::topic::sessions];
        return 0;
    }

    /// Waits until the owner has handed over all that was sent before.
    void flush()
    {
        std::promise<void> done;
        asio::post(owner.relays.strand, [&] { done.set_value(); });
        done.get_future().wait();
    }
};

std::string make_long_answer()
{
    return "ROW " + std::string(answer_bytes, 'z') + "\r\nREADY I -\r\n";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_long_answer_for_a_caller_of_another_host)

// Guards against heartbeat answers and answers of other sessions that wait
// until a long answer has left on a slow link: the owner is given up then.
BOOST_FIXTURE_TEST_CASE(does_not_fill_the_link, frozen_entry)
{
    freeze();
    send(item_kind::answer, session, make_long_answer());
    flush();
    BOOST_TEST(handed() <= max_handed_bytes);
    const auto before = handed();
    send(item_kind::heartbeat_answer, 0, {});
    flush();
    BOOST_TEST(handed() > before);
    BOOST_TEST(handed() <= max_handed_bytes);
}

// Guards against parts that are lost, repeated or exchanged.
BOOST_FIXTURE_TEST_CASE(arrives_whole, frozen_entry)
{
    const auto text = make_long_answer();
    freeze();
    send(item_kind::answer, session, text);
    send(item_kind::answer, session, "READY I 7\r\n");
    flush();
    resume();
    BOOST_TEST((it.line() == "ROW " + std::string(answer_bytes, 'z')));
    BOOST_TEST(it.line() == "READY I -");
    BOOST_TEST(it.line() == "READY I 7");
    BOOST_TEST(it.query("READ 1").find("READY I -") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
