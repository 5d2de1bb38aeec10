#include "pooled/table_watch.hpp"
#include "deployment.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::test;

namespace
{

const std::string table = "t";

proxy::pooled::host_settings settings_with(const store_standin& store)
{
    proxy::pooled::host_settings out;
    out.store = local(store.port());
    return out;
}

/// A table that a host follows, and its rows as the host knows them. Store and
/// host run in turns on the thread of the test.
struct followed_table
{
    asio::io_context store_io;
    store_standin store{store_io};
    proxy::pooled::app host{settings_with(store)};
    std::map<std::string, std::string> known;
    std::vector<platform::row_page> pages;
    std::size_t whole_reads = 0;

    void follow()
    {
        const auto watch = proxy::pooled::watch_table(
            host, table, {},
            [this](const platform::row_page& page,
                   const std::optional<std::uint64_t>& after)
            { take(page, !after); });
        proxy::pooled::set_pace(host, watch, proxy::pooled::watch_pace::prompt);
    }

    void take(const platform::row_page& page, bool whole)
    {
        pages.push_back(page);
        whole_reads += whole ? 1 : 0;
        if (whole)
            known.clear();
        for (const auto& row : page.rows)
            if (row.deleted)
                known.erase(row.key);
            else
                known[row.key] = row.value;
    }

    template <class Condition>
    void run_until(Condition&& done)
    {
        const auto limit = std::chrono::steady_clock::now() + test_limit;
        while (!done() && std::chrono::steady_clock::now() < limit)
        {
            store_io.poll();
            host.io.run_for(1ms);
        }
        BOOST_REQUIRE(done());
    }

    /// The rows that the store has.
    std::map<std::string, std::string> stored()
    {
        std::map<std::string, std::string> out;
        for (const auto& [key, row] : store.tables[table])
            if (!row.deleted)
                out[key] = row.value;
        return out;
    }
};

struct table_of_many_pages : followed_table
{
    table_of_many_pages()
    {
        store.page_limit = 2;
        for (const auto* key : {"a", "b & c", "d", "e", "f"})
            store.put(table, key, key);
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_table_of_many_pages)

// Guards against taking the rows after the first page for removed: after a
// restart a host knew no member (review case 5).
BOOST_FIXTURE_TEST_CASE(is_read_to_its_end, table_of_many_pages)
{
    follow();
    run_until([&] { return !pages.empty(); });
    BOOST_TEST(whole_reads == 1U);
    BOOST_TEST((known == stored()));
    BOOST_TEST(!pages.front().has_more);
    BOOST_TEST((pages.front().read_at > core::time_point{}));
}

BOOST_AUTO_TEST_SUITE(that_changes_while_it_is_read)

// Guards against following the changes from the version of the last page, which
// hides those made between the pages in the part that was read before.
BOOST_FIXTURE_TEST_CASE(loses_and_resurrects_no_row, table_of_many_pages)
{
    store.page_listed = [this]
    {
        store.page_listed = {};
        store.remove(table, "a");
        store.put(table, "aa", "added");
    };
    follow();
    run_until([&] { return !pages.empty(); });
    BOOST_TEST(known.count("a") == 1U);
    run_until([&] { return known == stored(); });
    BOOST_TEST(whole_reads == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_table_of_a_store_that_was_restored)

struct restored_table : followed_table
{
    std::uint64_t copied = 0;

    restored_table()
    {
        store.put(table, "a", "kept");
        copied = store.version;
        store.put(table, "b", "lost");
        follow();
        run_until([&] { return known == stored(); });
    }

    void change(const std::string& value)
    {
        store.put(table, "c", value);
        run_until([&] { return known == stored(); });
    }
};

BOOST_FIXTURE_TEST_CASE(is_read_anew, restored_table)
{
    store.roll_back_to(copied);
    run_until([&] { return known == stored(); });
    BOOST_TEST(pages.back().era == 2U);
    change("followed");
    BOOST_TEST(whole_reads == 2U);
}

// Guards against following the changes from a version that was given out again:
// the rows that were written under it stayed unknown.
BOOST_FIXTURE_TEST_CASE(is_not_followed_from_a_version_of_before,
                        restored_table)
{
    store.roll_back_to(copied);
    for (const auto* value : {"1", "2", "3"})
        store.put(table, "d", value);
    store.put(table, "a", "written again");
    const auto after_all = ++store.version;
    run_until([&] { return known == stored(); });
    store.put("other", "x", "y");
    change("followed");
    BOOST_TEST(pages.back().version > after_all);
}

BOOST_AUTO_TEST_SUITE(while_its_pages_are_read)

// Guards against joining pages of the store before and after the restore.
BOOST_FIXTURE_TEST_CASE(is_read_anew, table_of_many_pages)
{
    store.page_listed = [this]
    {
        store.page_listed = {};
        store.roll_back_to(1);
        for (const auto* key : {"d", "e", "g"})
            store.put(table, key, "written again");
    };
    follow();
    run_until([&] { return !pages.empty(); });
    BOOST_TEST((known == stored()));
    BOOST_TEST(pages.front().era == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
