#include "godwitbarrow/settings/settings.hpp"

#include <boost/test/unit_test.hpp>

#include "godwitbarrow/settings/keys.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::settings;
using namespace std::chrono_literals;

namespace
{

file_set example(const std::string& name)
{
    const std::string root = SOURCE_DIRECTORY "/examples/";
    return std::get<file_set>(read_folder(root + name));
}

/// The example with an additional file that is merged last.
file_set with(const std::string& content)
{
    auto files = example("consortium");
    files["99-change.ini"] = content;
    return files;
}

struct settings accepted(const file_set& files)
{
    const auto parsed = parse_settings(files);
    const auto* problems = std::get_if<std::vector<problem>>(&parsed);
    if (problems)
        BOOST_FAIL(to_string(problems->front()));
    return std::get<struct settings>(parsed);
}

std::vector<problem> rejected(const file_set& files)
{
    const auto parsed = parse_settings(files);
    BOOST_REQUIRE(std::holds_alternative<std::vector<problem>>(parsed));
    return std::get<std::vector<problem>>(parsed);
}

/// Checks that the only problem is at this line and contains this text.
void expect_problem(const std::string& content, std::uint32_t line,
                    const std::string& text)
{
    BOOST_TEST_CONTEXT(content)
    {
        const auto problems = rejected(with(content));
        BOOST_TEST(problems.size() == 1u);
        BOOST_TEST(problems.front().file == "99-change.ini");
        BOOST_TEST(problems.front().line == line);
        BOOST_TEST_CONTEXT(problems.front().message)
        BOOST_TEST(problems.front().message.find(text) != std::string::npos);
    }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(an_operator_fills_a_folder)

BOOST_AUTO_TEST_SUITE(with_the_examples)

// Guards against examples that are rejected when a new operator copies them or
// that differ from the sizes on the design page.
BOOST_AUTO_TEST_CASE(both_are_accepted_and_have_the_documented_sizes)
{
    for (const auto& [name, slots, connections] :
         {std::tuple("consortium", 2u, 15u), {"dar-el-kalima", 5u, 55u}})
    {
        const auto values = accepted(example(name));
        BOOST_TEST(values.hosts.size() == 4u);
        BOOST_TEST(values.groups.size() == 3u);
        BOOST_TEST(values.data_centres.size() == 3u);
        for (const auto& [id, group] : values.groups)
            BOOST_TEST(group.members.size() == 3u);
        for (const auto& [id, server] : values.backend_servers)
        {
            BOOST_TEST(server.slots == slots);
            BOOST_TEST(server.connections == connections);
        }
    }
}

// Guards against a latency that applies in one direction only.
BOOST_AUTO_TEST_CASE(a_latency_applies_in_both_directions)
{
    const auto values = accepted(example("dar-el-kalima"));
    const auto& luxor = values.data_centres.at(core::data_centre_id{"luxor"});
    BOOST_TEST((luxor.latency.at(core::data_centre_id{"cairo"}) == 8000us));
}

// Guards against a report of the effective settings that omits or alters a
// value.
BOOST_AUTO_TEST_CASE(their_text_form_parses_to_the_same_settings)
{
    for (const auto* name : {"consortium", "dar-el-kalima"})
    {
        const auto text = to_text(accepted(example(name)));
        BOOST_TEST(to_text(accepted({{"merged.ini", text}})) == text);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(and_a_key_occurs_in_two_files)

// Guards against a merge order that depends on anything but the file names.
BOOST_AUTO_TEST_CASE(the_later_file_overrides_this_key_only)
{
    auto files = with("[rank.urgent]\ndeadline = 3s\n");
    files["05-early.ini"] = "[rank.urgent]\ndeadline = 9s\n";
    const auto urgent = accepted(files).ranks[0];
    BOOST_TEST((urgent.deadline == 3s));
    BOOST_TEST((urgent.latency_objective == 250ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(and_leaves_keys_out)

// Guards against struct defaults that differ from the documented ones.
BOOST_AUTO_TEST_CASE(the_defaults_of_the_key_table_and_of_the_struct_agree)
{
    auto files = example("consortium");
    files.erase("50-ranks.ini");
    files.erase("60-limits.ini");
    auto values = accepted(files);
    const auto without_sections = to_text(values);
    files["60.ini"] =
        "[limits]\n[rank.urgent]\n[rank.interactive]\n"
        "[rank.deferred]\n";
    values = accepted(files);
    BOOST_TEST(to_text(values) == without_sections);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(and_makes_a_mistake)

// Guards against a syntax error that is silently ignored or reported at the
// wrong line.
BOOST_AUTO_TEST_CASE(a_syntax_error_is_reported_with_file_and_line)
{
    expect_problem("\nnonsense\n", 2, "KEY = VALUE");
    expect_problem("body = 1KiB\n", 1, "before any section");
    expect_problem("; first\n[limits]\nbody = 1KiB\n\nbody = 2KiB\n", 5,
                   "occurs twice");
    expect_problem("[limits]\nbody = 1KiB \x01\n", 2, "control character");
    expect_problem(
        "[group.catalogue]\ndescription = " + std::string(300, 'x') + "\n", 2,
        "longer than");
    expect_problem("[group." + std::string(60, 'x') + "]\n", 1, "49");
}

// Guards against an indented line being appended to the preceding value.
BOOST_AUTO_TEST_CASE(an_indented_key_is_read_as_a_key)
{
    const auto values =
        accepted(with("[limits]\n  body = 1KiB\n  header = 2KiB\n"));
    BOOST_TEST(values.limits.body == 1024u);
    BOOST_TEST(values.limits.header == 2048u);
}

// Guards against a misspelt name that silently leaves a default in effect.
BOOST_AUTO_TEST_CASE(an_unknown_section_or_key_is_reported_with_the_known_ones)
{
    expect_problem("[limit]\nbody = 1KiB\n", 1, "[limits]");
    expect_problem("[limits]\nbodies = 1KiB\n", 2, "body");
    expect_problem("[limits.extra]\n", 1, "takes no name");
    expect_problem("[kind]\nrank = urgent\n", 1, "needs a name");
    expect_problem("[rank.high]\n", 1, "[rank.urgent]");
    expect_problem("[team.a.b]\nkinds = quote\nlimit = 1\n", 1, "needs a name");
}

// Guards against accepting values without a unit, with a wrong unit or out of
// range.
BOOST_AUTO_TEST_CASE(an_invalid_value_is_reported_with_the_accepted_ones)
{
    expect_problem("[limits]\nidle_age = 60\n", 2, "ms, s, min or h");
    expect_problem("[limits]\nidle_age = 99h\n", 2, "1s to 1h");
    expect_problem("[limits]\nidle_age = 18446744073709551616ms\n", 2, "1h");
    expect_problem("[limits]\nbody = 64KB\n", 2, "KiB");
    expect_problem("[limits]\nretry_ratio = nan%\n", 2, "0% to 100%");
    expect_problem("[limits]\nretry_ratio =\n", 2, "0% to 100%");
    expect_problem("[limits]\nqueue_policy = fair\n", 2,
                   "ranked or first_come_first_served");
    expect_problem("[kind.quote]\nrank = high\n", 2, "urgent or interactive");
    expect_problem("[host.entry-1]\naddress = localhost\n", 2, "IPv4");
    expect_problem("[host.entry-1]\ncaller_port = 70000\n", 2, "1 to 65535");
    expect_problem("[platform]\naddress = 127.0.0.1:0\n", 2, "port 0");
    expect_problem("[latency.agadir]\nmarrakech = 1min\n", 2, "us, ms or s");
}

// Guards against a host that no caller, peer or operator can reach.
BOOST_AUTO_TEST_CASE(a_missing_key_is_reported_at_the_section)
{
    const auto problems = rejected(
        with("\n[host.entry-9]\naddress = 127.0.0.1\ndata_centre = agadir\n"));
    BOOST_TEST(problems.size() == 3u);
    BOOST_TEST(to_string(problems[0]).find("99-change.ini:2: ") == 0u);
    BOOST_TEST(problems[0].message.find("caller_port = VALUE") !=
               std::string::npos);
}

// Guards against dangling references that are detected only when a request
// needs them.
BOOST_AUTO_TEST_CASE(a_name_without_section_is_reported)
{
    const std::string server = "[backend_server.catalogue-1]\n";
    const auto problems = rejected(with(server + "group = nowhere\n"));
    BOOST_TEST(problems.size() == 2u);
    BOOST_TEST(problems[0].message.find("has 2 members") != std::string::npos);
    BOOST_TEST(problems[1].message.find("[group.nowhere]") !=
               std::string::npos);
    expect_problem(server + "data_centre = fes\n", 2, "[data_centre.fes]");
    expect_problem("[host.entry-1]\ndata_centre = fes\n", 2, "correct");
    expect_problem("[latency.agadir]\nfes = 1ms\n", 2, "[data_centre.fes]");
    expect_problem("[latency.fes]\nagadir = 1ms\n", 1, "[data_centre.fes]");
    expect_problem("[team.a]\nkinds = quote, loan\nlimit = 1\n", 2,
                   "[kind.loan]");
    expect_problem("[group.spare]\n", 1, "has 0 members");
}

// Guards against settings that are valid individually but contradict each
// other.
BOOST_AUTO_TEST_CASE(values_that_contradict_each_other_are_reported)
{
    expect_problem("[backend_server.catalogue-1]\naddress = 127.0.0.1:21000\n",
                   2, "already used at 00-platform.ini:2");
    expect_problem("[host.entry-1]\npeer_port = 21100\n", 2, "already used");
    expect_problem("[backend_server.catalogue-1]\nconnections = 4\n", 2,
                   "at least 5");
    expect_problem("[rank.deferred]\nminimum_share = 81%\n", 2, "101%");
    expect_problem("[rank.urgent]\nreserved_slots = 2\n", 2, "below 2");
    expect_problem("[rank.deferred]\nreserved_slots = 1\n", 2, "only rank");
    expect_problem("[rank.urgent]\nlatency_objective = 3s\n", 2, "2s");
    expect_problem("[limits]\nidle_age = 2s\nprobe_after = 3s\n", 3, "2s");
    expect_problem(
        "[team.a]\nkinds = quote\nlimit = 1\n[team.b]\nkinds = quote\n"
        "limit = 1\n",
        5, "team a");
}

// Guards against accepting an empty or wrong folder as settings.
BOOST_AUTO_TEST_CASE(an_empty_folder_is_reported_with_the_required_sections)
{
    const auto problems = rejected({});
    BOOST_TEST(problems.size() == 4u);
    BOOST_TEST(to_string(problems[0]).find("[platform]") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
