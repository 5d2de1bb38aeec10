#include "simulation.hpp"

namespace godwitbarrow::bench
{

using namespace std::chrono_literals;

// Latencies, slots and connections as docs/design.md section 1.7 gives them;
// ranks as in examples/.
deployment consortium()
{
    deployment it;
    it.name = "consortium";
    it.between_places = 12ms;
    it.to_clients = 1ms;
    it.slots = 2;
    it.connections = 15;
    it.connect_time = 10ms;
    it.service_time = 5ms;
    it.replication_lag = 10ms;
    it.worth = {50, 5, 1};
    it.deadline = {2s, 1s, 30s};
    it.minimum_share = {0, 0.2, 0.1};
    return it;
}

deployment dar_el_kalima()
{
    deployment it;
    it.name = "dar_el_kalima";
    it.between_places = 8ms;
    it.to_clients = 1ms;
    it.slots = 5;
    it.connections = 55;
    it.connect_time = 30ms;
    it.service_time = 5ms;
    it.replication_lag = 10ms;
    it.worth = {100, 2, 1};
    it.deadline = {2s, 2s, 60s};
    it.minimum_share = {0, 0.05, 0.15};
    it.reserved_slots = 1;
    return it;
}

}  // namespace godwitbarrow::bench
