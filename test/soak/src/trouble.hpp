#pragma once

#include <map>
#include <random>
#include <string>

#include "deployment.hpp"
#include "fleet.hpp"

/// Faults in random order, from outside of the hosts.
namespace soak
{

struct troublemaker
{
    troublemaker(deployment& d, fleet& f, std::uint32_t seed)
        : around(d), hosts(f), random(seed)
    {
    }

    deployment& around;
    fleet& hosts;
    std::mt19937 random;
    bool stopped = false;
    /// How often each kind was played.
    std::map<std::string, unsigned> played;
};

/// Begins faults until `stop_trouble`; several overlap.
void start_trouble(troublemaker& it);

/// Begins no more and ends those that go on.
void stop_trouble(troublemaker& it);

}  // namespace soak
