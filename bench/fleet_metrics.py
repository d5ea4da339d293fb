"""Print the processor time of a scrape of the fleet's metrics by number of hosts."""

import time

import defopt
import prometheus_client

from bench.waves import make_fleet
from rhubarbmount.fleet_counters import FleetCounters
from rhubarbmount.fleet_metrics import FleetCollector

SCRAPES = 50


def main() -> None:
    """Print milliseconds a scrape, on the holder and on any other entry host."""
    print("hosts  pools  holder ms  other ms")
    for pools, workers in ((1, 26), (5, 52), (25, 104)):
        fleet = make_fleet("", pools, workers, 10, (5, 2), 0, 1)
        figures = [scrape_ms(fleet, is_holder) for is_holder in (True, False)]
        print(f"{pools * workers:5} {pools:6} {figures[0]:10.2f} {figures[1]:9.2f}")


def scrape_ms(fleet, is_holder):
    """Return the processor time of one scrape."""
    registry = prometheus_client.CollectorRegistry()
    collector = FleetCollector(
        FleetCounters(), lambda: fleet.hosts, lambda: fleet.pools, lambda _: is_holder
    )
    registry.register(collector)
    start_s = time.process_time()
    for _ in range(SCRAPES):
        prometheus_client.generate_latest(registry)
    return 1000 * (time.process_time() - start_s) / SCRAPES


if __name__ == "__main__":
    defopt.run(main)
