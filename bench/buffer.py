"""Print the buffer that failures call for, and its share of the fleet."""

import defopt

from rhubarbmount.repair import buffer_need

FLEETS = (
    ("collective", 30, 23 * 30 / 2600, 30 / 2600),
    ("workshop", 40, 23 * 40 / 2600, 40 / 2600),
    ("2,600 workers", 2600, 23.0, 1.0),
)


def main(*, rack_repair_days: float = 1.0) -> None:
    """Print one line for each fleet and time of repair.

    :param rack_repair_days: how long a lost rack is away
    """
    print("fleet           repair days  too small  buffer hosts  share of fleet")
    for name, hosts, failures_per_day, racks_per_month in FLEETS:
        for repair_days in (0.04, 0.5, 1.0, 3.0):
            for shortage in (0.01, 0.001):
                need = buffer_need(
                    hosts=hosts,
                    failures_per_day=failures_per_day,
                    repair_days=repair_days,
                    rack_size=4,
                    racks_per_month=racks_per_month,
                    rack_repair_days=rack_repair_days,
                    shortage=shortage,
                )
                print(
                    f"{name:15} {repair_days:11} {shortage:10} {need.hosts:13}"
                    f" {100 * need.share:13.1f} %"
                )


if __name__ == "__main__":
    defopt.run(main)
