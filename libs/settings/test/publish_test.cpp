#include "godwitbarrow/settings/publish.hpp"

#include <boost/test/unit_test.hpp>

#include "publish_fixture.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::settings;
using namespace godwitbarrow::settings::test;
using namespace std::chrono_literals;

namespace
{

using numbers = std::vector<generation_number>;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_host_watches_its_folder, fleet)

BOOST_AUTO_TEST_SUITE(that_is_valid)

// Guards against serving without settings, and against treating the first
// folder as a generation before the row confirms it.
BOOST_AUTO_TEST_CASE(it_becomes_generation_1_after_the_platform_is_reached)
{
    scan(a, folder(1));
    BOOST_TEST(all_reports<bootstrap>(a).size() == 1u);
    BOOST_TEST(applied(a).empty());
    run(a);
    BOOST_TEST(applied(a) == numbers{1});
    BOOST_TEST(platform.history[1] == digest(folder(1)));
}

// Guards against publishing a file that an editor is still writing.
BOOST_AUTO_TEST_CASE(its_contents_are_published_when_two_scans_agree)
{
    handle_event(a, folder_scanned{folder(1)}, now);
    handle_event(a, folder_scanned{folder(2)}, now);
    BOOST_TEST(a.calls.empty());
    handle_event(a, folder_scanned{folder(2)}, now);
    run(a);
    BOOST_TEST(platform.history[1] == digest(folder(2)));
}

// Guards against publishing a new generation for every scan.
BOOST_AUTO_TEST_CASE(an_unchanged_folder_is_published_once)
{
    save(a, folder(1));
    save(a, folder(1));
    wait_and_run(a);
    BOOST_TEST(generation() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_becomes_invalid)

// Guards against an invalid file that replaces or withdraws valid settings.
BOOST_AUTO_TEST_CASE(
    the_last_accepted_contents_stay_and_the_problem_is_reported_once)
{
    save(a, folder(1));
    auto broken = folder(2);
    broken["c.ini"] = "[limits]\nbody = much\n";
    save(a, broken);
    save(a, broken);
    const auto reports = all_reports<report_rejected>(a);
    BOOST_TEST(reports.size() == 1u);
    BOOST_TEST(reports[0].problems[0].file == "c.ini");
    BOOST_TEST(generation() == 1u);
    save(a, folder(3));
    BOOST_TEST(applied(a) == (numbers{1, 2}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_replaces_two_members_of_a_group)

file_set with_new_addresses()
{
    auto files = folder(1);
    files["c.ini"] =
        "[backend_server.s5]\naddress = 127.0.0.1:15\n"
        "[backend_server.s6]\naddress = 127.0.0.1:16\n";
    return files;
}

// Guards against a change that loses acknowledged writes.
BOOST_AUTO_TEST_CASE(it_is_rejected)
{
    save(a, folder(1));
    save(a, with_new_addresses());
    BOOST_TEST(all_reports<report_rejected>(a).size() == 1u);
    BOOST_TEST(generation() == 1u);
}

// Guards against such a change after a restart, before the host has fetched the
// generation that precedes it.
BOOST_AUTO_TEST_CASE(it_is_rejected_by_a_host_that_has_just_restarted)
{
    save(a, folder(1));
    a = restart(a);
    save(a, with_new_addresses());
    wait_and_run(a);
    BOOST_TEST(all_reports<report_rejected>(a).size() == 1u);
    BOOST_TEST(generation() == 1u);
    BOOST_TEST(applied(a) == numbers{1});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(while_the_store_is_down)

// Guards against a change that is lost or delayed without a report.
BOOST_AUTO_TEST_CASE(
    it_reports_each_failure_and_publishes_after_the_store_recovers)
{
    scan(a, folder(1));
    run(a, call_outcome::refused);
    for (int n = 0; n < 3; ++n)
        wait_and_run(a, call_outcome::refused);
    const auto waits = all_reports<report_store_failure>(a);
    BOOST_TEST(waits.size() == 4u);
    BOOST_TEST(waits[3].failures == 4u);
    wait_and_run(a);
    BOOST_TEST(applied(a) == numbers{1});
}

// Guards against load on a store that is recovering.
BOOST_AUTO_TEST_CASE(it_does_not_retry_before_the_reported_time)
{
    scan(a, folder(1));
    run(a, call_outcome::refused);
    const auto until = all_reports<report_store_failure>(a)[0].retry_at;
    handle_event(a, tick{}, until - 1ms);
    BOOST_TEST(a.calls.empty());
    handle_event(a, tick{}, until);
    BOOST_TEST(a.calls.size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(and_the_answer_to_its_row_write_is_lost)

void lose_answer(fleet& hosts, call_outcome outcome)
{
    hosts.scan(hosts.a, folder(1));
    for (int n = 0; n < 2; ++n)
        perform(hosts.a, hosts.platform, call_outcome::answered, hosts.now);
    perform(hosts.a, hosts.platform, outcome, hosts.now);
}

// Guards against publishing a second generation for the same change.
BOOST_AUTO_TEST_CASE(it_reads_the_row_back_and_finds_its_attempt)
{
    lose_answer(*this, call_outcome::answer_lost);
    BOOST_TEST(generation() == 1u);
    wait_and_run(a);
    BOOST_TEST(generation() == 1u);
    BOOST_TEST(applied(a) == numbers{1});
    BOOST_TEST(all_reports<report_published>(a).size() == 1u);
}

// Guards against a delayed write and its retry both taking effect.
BOOST_AUTO_TEST_CASE(it_sends_the_same_attempt_again_if_the_row_is_unchanged)
{
    lose_answer(*this, call_outcome::delayed);
    now += 10s;
    handle_event(a, tick{}, now);
    perform(a, platform, call_outcome::answered, now);
    const auto first = platform.delayed.front().row.attempt;
    const auto second = std::get<write_row>(a.calls.front()).row.attempt;
    BOOST_TEST(first == second);
    apply_delayed(platform);
    run(a);
    BOOST_TEST(generation() == 1u);
    BOOST_TEST(applied(a) == numbers{1});
    BOOST_TEST(all_reports<report_conflict>(a).empty());
}

// Guards against reporting a conflict for a successful write because another
// host published after it.
BOOST_AUTO_TEST_CASE(it_finds_its_generation_below_a_newer_one)
{
    lose_answer(*this, call_outcome::answer_lost);
    save(b, folder(1));
    save(b, folder(2));
    wait_and_run(a);
    BOOST_TEST(all_reports<report_conflict>(a).empty());
    BOOST_TEST(applied(a) == (numbers{1, 2}));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(two_operators_save_at_the_same_time, fleet)

struct race : fleet
{
    race()
    {
        save(a, folder(1));
        save(b, folder(1));
        scan(a, folder(2));
        scan(b, folder(3));
        for (int n = 0; n < 2; ++n)
            for (auto* host : {&a, &b})
                perform(*host, platform, call_outcome::answered, now);
        run(a);
        run(b);
    }
};

BOOST_FIXTURE_TEST_SUITE(with_different_contents, race)

// Guards against a change that is lost while its operator believes it to be in
// effect.
BOOST_AUTO_TEST_CASE(one_is_published_and_the_other_host_reports_one_conflict)
{
    BOOST_TEST(generation() == 2u);
    BOOST_TEST(all_reports<report_conflict>(a).empty());
    const auto conflicts = all_reports<report_conflict>(b);
    BOOST_TEST(conflicts.size() == 1u);
    BOOST_TEST(conflicts[0].generation == 2u);
    BOOST_TEST(conflicts[0].publisher.value == "a");
    BOOST_TEST(to_string(conflicts[0]).find("merge") != std::string::npos);
}

// Guards against the conflicting folder replacing the published change later.
BOOST_AUTO_TEST_CASE(
    the_conflicting_folder_is_not_published_until_its_contents_change)
{
    save(b, folder(3));
    wait_and_run(b);
    BOOST_TEST(generation() == 2u);
    auto broken = folder(3);
    broken["c.ini"] = "x";
    save(b, broken);
    save(b, folder(3));
    BOOST_TEST(generation() == 2u);
    save(b, folder(4));
    BOOST_TEST(generation() == 3u);
    BOOST_TEST(all_reports<report_conflict>(b).size() == 1u);
}

// Guards against a folder based on an old generation reverting newer changes.
BOOST_AUTO_TEST_CASE(
    a_later_change_not_based_on_the_newest_generation_conflicts)
{
    save(b, folder(4));
    handle_event(a, newer_generation_received{3, folder(4)}, now);
    save(a, folder(5));
    BOOST_TEST(generation() == 3u);
    const auto conflicts = all_reports<report_conflict>(a);
    BOOST_TEST(conflicts.size() == 1u);
    BOOST_TEST((conflicts[0].cause == conflict_cause::lost_race));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_the_same_content)

// Guards against conflicts when one folder is copied to every host.
BOOST_AUTO_TEST_CASE(both_apply_the_same_generation)
{
    scan(a, folder(1));
    scan(b, folder(1));
    for (int n = 0; n < 2; ++n)
        for (auto* host : {&a, &b})
            perform(*host, platform, call_outcome::answered, now);
    run(a);
    run(b);
    BOOST_TEST(generation() == 1u);
    BOOST_TEST(applied(a) == numbers{1});
    BOOST_TEST(applied(b) == numbers{1});
    BOOST_TEST(all_reports<report_conflict>(b).empty());
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_host_starts_again, fleet)

// Guards against reverting the settings when a host restarts with an old
// folder.
BOOST_AUTO_TEST_CASE(with_an_older_folder_it_applies_the_current_generation)
{
    save(a, folder(1));
    save(a, folder(2));
    a = restart(a);
    save(a, folder(1));
    BOOST_TEST(generation() == 2u);
    BOOST_TEST(applied(a) == numbers{2});
    const auto conflicts = all_reports<report_conflict>(a);
    BOOST_TEST(conflicts.size() == 1u);
    BOOST_TEST((conflicts[0].cause == conflict_cause::stale_folder));
}

// Guards against reverting the settings when the row no longer keeps the digest
// of the old folder.
BOOST_AUTO_TEST_CASE(with_a_folder_of_unknown_age_it_does_not_publish)
{
    const int published = static_cast<int>(max_row_digests) + 2;
    for (int n = 0; n < published; ++n)
        save(a, folder(n));
    a = restart(a);
    save(a, folder(0));
    BOOST_TEST(generation() == static_cast<generation_number>(published));
    const auto conflicts = all_reports<report_conflict>(a);
    BOOST_TEST(conflicts.size() == 1u);
    BOOST_TEST((conflicts[0].cause == conflict_cause::age_unknown));
}

// Guards against a change that is ignored because the host was down.
BOOST_AUTO_TEST_CASE(with_a_new_folder_it_publishes)
{
    save(a, folder(1));
    a = restart(a);
    save(a, folder(2));
    wait_and_run(a);
    BOOST_TEST(generation() == 2u);
}

// Guards against a host without a folder that never receives the settings.
BOOST_AUTO_TEST_CASE(without_a_folder_it_fetches_the_current_generation)
{
    handle_event(a, tick{}, now);
    run(a);
    BOOST_TEST(applied(a).empty());
    save(b, folder(1));
    wait_and_run(a, call_outcome::refused);
    wait_and_run(a);
    BOOST_TEST(applied(a) == numbers{1});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(generations_come_from_peers, fleet)

// Guards against a delayed message that reverts the settings.
BOOST_AUTO_TEST_CASE(only_higher_ones_are_applied)
{
    for (const auto n : {2, 1, 2, 4, 3})
        handle_event(a,
                     newer_generation_received{
                         static_cast<generation_number>(n), folder(n)},
                     now);
    BOOST_TEST(applied(a) == (numbers{2, 4}));
}

// Guards against replacing valid settings by those of a newer version of the
// program.
BOOST_AUTO_TEST_CASE(one_that_this_version_cannot_read_is_reported_once)
{
    handle_event(a, newer_generation_received{1, folder(1)}, now);
    for (int n = 0; n < 2; ++n)
        handle_event(a, newer_generation_received{2, {{"a.ini", "[new]\n"}}},
                     now);
    BOOST_TEST(applied(a) == numbers{1});
    BOOST_TEST(all_reports<report_rejected>(a).size() == 1u);
}

// Guards against numbering that restarts when the table is lost; no host would
// apply such generations.
BOOST_AUTO_TEST_CASE(numbering_continues_after_the_table_loses_its_row)
{
    save(a, folder(1));
    save(a, folder(2));
    platform.current = {};
    save(a, folder(3));
    BOOST_TEST(applied(a) == (numbers{1, 2, 3}));
}

BOOST_AUTO_TEST_SUITE_END()
