#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base.hh"

/// A service with `sync_replicas` 1, as PROTOCOL.md describes its members: the
/// primary acknowledges a commit once one replica has received it.
namespace review
{

struct replica
{
    std::string id;
    /// Time until a commit arrives from the primary.
    milliseconds delay{0};
    /// Number of commits that it has received.
    std::size_t received = 0;
    /// Term of the pause and when it began; 0 if it receives.
    std::uint64_t paused_at = 0;
    std::int64_t paused_since_us = 0;
    listener listening;
};

class replicated_group
{
public:
    replicated_group(std::string name, record& log);

    /// Starts a member with the log of the service.
    void add(const std::string& id, milliseconds delay);
    void lead(const std::string& id);
    std::string registration(const std::string& id, const std::string& state);

    /// The member leads the next term after the time of a promotion.
    bool promote(const std::string& id);

    std::string primary();
    /// Acknowledged commits that the promoted member didn't have.
    std::size_t lost();

private:
    struct session
    {
        char state = 'I';
        bool wrote = false;
    };

    void serve(replica& at, int socket);
    std::string run(replica& at, session& s, const std::string& id,
                    const std::string& text);
    std::string ready(const replica& at, const session& s);
    std::string status(replica& at, const session& s);
    bool commit(const std::string& id);
    void receive(replica& it);
    void finish_promotion(const std::string& id);

    std::string name_;
    record& log_;
    std::mutex mutex_;
    std::vector<std::unique_ptr<replica>> members_;
    std::string primary_;
    std::uint64_t term_ = 3;
    /// When each commit was made, and by which request.
    std::vector<std::int64_t> made_us_;
    std::vector<std::string> made_by_;
    std::vector<bool> acknowledged_;
    std::size_t lost_ = 0;
};

}  // namespace review
