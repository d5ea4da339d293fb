"""Draw the trade-off between spare hosts and roll-out time."""

import attrs

__all__ = ["Point", "draw_curve"]

PANEL_WIDTH_INCHES = 5
PANEL_HEIGHT_INCHES = 4
LABEL_OFFSET_POINTS = (4, 4)


@attrs.frozen
class Point:
    """What a wave over a fleet takes with a number of spares."""

    fleet: str
    spares: int
    hours: float
    buffer_host_hours: float
    is_chosen: bool = False


def draw_curve(points, path):
    """Write one panel for each fleet; the spares that its weights take are ringed."""
    from matplotlib.figure import Figure

    fleets = list(dict.fromkeys(point.fleet for point in points))
    width = PANEL_WIDTH_INCHES * len(fleets)
    figure = Figure(figsize=(width, PANEL_HEIGHT_INCHES), layout="constrained")
    panels = figure.subplots(1, len(fleets), squeeze=False)[0]
    for panel, fleet in zip(panels, fleets, strict=True):
        _draw_panel(panel, fleet, [each for each in points if each.fleet == fleet])
    figure.savefig(path, metadata={"Date": None} if str(path).endswith("svg") else {})


def _draw_panel(panel, fleet, points):
    costs = [point.buffer_host_hours for point in points]
    panel.plot(costs, [point.hours for point in points], marker="o")
    for point in points:
        at = (point.buffer_host_hours, point.hours)
        panel.annotate(
            str(point.spares),
            at,
            xytext=LABEL_OFFSET_POINTS,
            textcoords="offset points",
        )
        if point.is_chosen:
            panel.plot(*at, marker="o", markersize=14, fillstyle="none", color="black")
    panel.set_title(fleet)
    panel.set_xlabel("buffer, host hours (labels: spares)")
    panel.set_ylabel("roll-out time, hours")
    panel.set_ylim(bottom=0)
