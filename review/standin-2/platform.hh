#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "base.hh"

/// Stand-ins of the platform: its store, its call for promotions and the
/// members of one service. They follow PROTOCOL.md as a sound platform does.
namespace review
{

struct row
{
    std::string value;
    std::uint64_t version = 0;
    bool deleted = false;
};

/// The store and `POST /promote` on one port.
class store
{
public:
    explicit store(record& log);

    std::uint16_t port() const
    {
        return listener_.port;
    }

    /// Writes a row as the operator or a member does; returns once it is
    /// acknowledged.
    void put(const std::string& table, const std::string& key,
             const std::string& value);

    /// The row is dropped, as that of a member that has left.
    void remove(const std::string& table, const std::string& key);

    /// Connections that are open now deliver nothing more, new ones work.
    void silence_connections();

    /// Waits for the next call that waits for changes of the table.
    void await_feed(const std::string& table);

    /// Whether calls that wait for a configuration are written to the record.
    bool log_feeds = false;

    /// Called with the service and the member to promote.
    std::function<bool(const std::string&, const std::string&)> promoted;

private:
    void serve(int socket);
    std::string answer(const std::string& method, const std::string& target,
                       const std::map<std::string, std::string>& headers,
                       const std::string& body, int socket);
    std::string list(const std::map<std::string, std::string>& query);
    std::string feed(const std::map<std::string, std::string>& query,
                     int socket);
    std::string transact(const std::string& body);
    std::string promote(const std::map<std::string, std::string>& headers,
                        const std::string& body);

    record& log_;
    listener listener_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::condition_variable fed_;
    std::map<std::string, std::map<std::string, row>> tables_;
    std::map<std::string, std::uint64_t> tokens_;
    std::map<std::string, std::uint64_t> feeds_;
    std::set<int> open_;
    std::set<int> silent_;
    std::uint64_t version_ = 0;
};

struct service
{
    std::string name;
    std::mutex mutex;
    std::string primary;
    std::map<std::string, std::string> items;
    std::uint64_t term = 1;
    std::uint64_t position = 0;
    /// How long a statement works, by its text.
    std::function<milliseconds(const std::string& text)> work;
    /// The rows of a read.
    std::function<std::vector<std::string>(const std::string& item)> rows;
};

/// A member of the service: every replica has applied all commits.
class member
{
public:
    member(service& of, std::string id, record& log);

    std::uint16_t port() const
    {
        return listener_.port;
    }
    const std::string& id() const
    {
        return id_;
    }
    /// Its entry in the store.
    std::string registration(const std::string& zone,
                             const std::string& state) const;

    /// The member exits.
    void stop();

private:
    struct session
    {
        char state = 'I';
        std::map<std::string, std::string> uncommitted;
        std::map<std::string, std::pair<bool, std::string>> prepared;
        std::map<std::string, std::string> values;
    };

    void serve(int socket);
    std::string ready(const session& s) const;
    std::string run(session& s, const std::string& id, std::string text);
    std::string read(session& s, const std::string& item);
    std::string write(session& s, const std::string& item,
                      const std::string& data);

    service& service_;
    std::string id_;
    record& log_;
    listener listener_;
};

/// The configuration that the operator writes: one route of each type and the
/// extra databases, all on one service.
std::string configuration(int version, const std::string& service,
                          const std::vector<std::string>& extra,
                          int synchronous_replicas = 0);

}  // namespace review
