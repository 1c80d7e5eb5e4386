"""Rows of the tables of docs/CAPACITY.md, computed from the measured points."""

from __future__ import annotations

from typing import Any

from benchmarks.measure import fit_line

ROUTERS = 320
ZONES = 7
REPLICAS = 600
REQUESTS_PER_S = 2600.0
TOKENS_PER_S = 1.1e6
CHANGES_PER_DAY = 1300.0
RESTARTS_PER_DAY = 127.0
ORDER_SHARE = 0.1  # of the requests; all others may be repeated
RETENTION_S = 86400.0
SHARDS = 8
GROUP_WINDOW_S = 0.025
PLATFORM_WRITE_S = 0.005
WATCHERS_PER_ZONE = 2
LIST_INTERVAL_S = 2.0
RULES_POLL_S = 60.0
NOTICE_TIMEOUT_S = 20.0
DAY_S = 86400.0

# Bounds of the control plane: the first three of a node, the others of the fleet.
BOUND_CORE = 0.038  # share of a core
BOUND_MEMORY_MB = 128.0
BOUND_BYTES_PER_S = 18_000.0
BOUND_WRITES_PER_S = 400.0
BOUND_READS_PER_S = 2000.0

EVIDENCE_COLUMNS = (
    "routers",
    "rest_bytes_per_s",
    "rest_busiest_bytes_per_s",
    "moving_bytes_per_s",
    "moving_busiest_bytes_per_s",
    "known_everywhere_s",
)
SHARD_COLUMNS = ("keys", "memory_mb", "start_s", "order_us", "written_kb_an_order")

Row = list[str]


def gossip_points(points: dict[str, Any]) -> list[dict[str, float]]:
    """Return the points of gossip, sorted by size."""
    gossip = [
        value["points"] for name, value in points.items() if name.startswith("gossip-")
    ]
    return sorted(gossip, key=lambda point: point["routers"])


def control_rows(points: dict[str, Any]) -> list[Row]:
    """Return the cost of the control plane for a node, with its bounds."""
    fleet = points["fleet"]["points"]
    sizes = [point["routers"] for point in fleet]
    core = fit_line([(point["routers"], point["core_share"]) for point in fleet])
    memory = fit_line([(point["routers"], point["memory_mb"]) for point in fleet])
    core_at_size = core[0] + core[1] * ROUTERS
    memory_at_size = memory[0] + memory[1] * ROUTERS
    upstreams_mb = REPLICAS * points["memory"]["points"]["upstream_bytes"] / 1e6
    largest = gossip_points(points)[-1]
    change = largest["change_bytes"] * CHANGES_PER_DAY / DAY_S
    measured = f"{sizes[0]:.0f} to {sizes[-1]:.0f} routers"
    return [
        [
            "processor, share of a core",
            f"{core_at_size:.3f}",
            f"{BOUND_CORE}",
            f"line over {measured}: {core[0]:.4f} + {core[1]:.6f} n, "
            f"spread {core[2]:.4f}",
        ],
        [
            "memory, MB",
            f"{memory_at_size + upstreams_mb:.0f}",
            f"{BOUND_MEMORY_MB:.0f}",
            f"line over {measured}: {memory[0]:.1f} + {memory[1]:.3f} n, and "
            f"{upstreams_mb:.1f} for {REPLICAS} upstreams",
        ],
        [
            "gossip at rest, bytes/s",
            f"{largest['rest_bytes_per_s']:.0f}",
            f"{BOUND_BYTES_PER_S:.0f}",
            f"measured at {largest['routers']:.0f} routers on a fake clock",
        ],
        [
            "gossip for changes, bytes/s on average",
            f"{change:.0f}",
            "same",
            f"{largest['change_bytes'] / 1000:.0f} KB a change, "
            f"{CHANGES_PER_DAY:.0f} a day",
        ],
    ]


def gossip_rows(points: dict[str, Any]) -> list[Row]:
    """Return gossip traffic and delays by size."""
    return [
        [
            f"{point['routers']:.0f}",
            f"{point['rest_bytes_per_s']:.0f}",
            f"{point['change_bytes'] / 1000:.0f}",
            f"{point['change_known_s']:.1f}",
            f"{point['leaving_known_s']:.1f}",
            f"{point['least_heard']:.0f}",
        ]
        for point in gossip_points(points)
    ]


def fleet_rows(points: dict[str, Any]) -> list[Row]:
    """Return the measurements of fleets of processes."""
    return [
        [
            f"{point['routers']:.0f}",
            f"{point['gossip_bytes_per_s']:.0f}",
            f"{point['datagrams_per_s']:.1f}",
            f"{point['core_share']:.4f}",
            f"{point['memory_mb']:.1f}",
            f"{point['platform_calls_per_s']:.1f}",
            f"{point['calls_per_change']:.1f}",
            f"{point['in_force_s_max']:.2f}",
            f"{point['leaving_s']:.2f}",
        ]
        for point in points["fleet"]["points"]
    ]


def platform_rows(points: dict[str, Any]) -> list[Row]:
    """Return the rates of platform calls at the design size."""
    orders = REQUESTS_PER_S * ORDER_SHARE
    grouped_writes = points["ledger"]["points"][-1]["writes"] * orders
    max_writes = SHARDS / (GROUP_WINDOW_S + PLATFORM_WRITE_S)
    writes = min(grouped_writes, max_writes)
    watchers = ZONES * WATCHERS_PER_ZONE
    lists = watchers / LIST_INTERVAL_S
    notices = watchers / NOTICE_TIMEOUT_S
    changes = CHANGES_PER_DAY / DAY_S * watchers
    polls = ROUTERS / RULES_POLL_S
    reads = lists + notices + changes + polls
    return [
        [
            "ledger",
            f"{writes:.0f} writes/s",
            f"{orders:.0f} orders/s; {max_writes:.0f} writes/s is the most of {SHARDS} "
            f"shards at {GROUP_WINDOW_S * 1000:.0f} ms and a write of "
            f"{PLATFORM_WRITE_S * 1000:.0f} ms",
        ],
        [
            "configuration",
            f"{changes + polls:.1f} reads/s",
            f"{watchers} watches; a poll a minute by each router",
        ],
        [
            "list and notices",
            f"{lists + notices:.1f} reads/s",
            f"{watchers} watchers, the list every {LIST_INTERVAL_S:.0f} s",
        ],
        [
            "all",
            f"{writes:.0f} writes/s, {reads:.0f} reads/s",
            f"bounds {BOUND_WRITES_PER_S:.0f} and {BOUND_READS_PER_S:.0f}",
        ],
    ]


def role_rows(points: dict[str, Any]) -> list[Row]:
    """Return the load of each role on one node, with the mechanism that carries it."""
    relay = points["relay"]["points"]
    decisions = points["decisions"]["points"][-1]
    ledger = points["ledger-2800000"]["points"]
    evidence = points["evidence-315"]["points"]
    requests = REQUESTS_PER_S / ROUTERS
    tokens = TOKENS_PER_S / ROUTERS
    orders = REQUESTS_PER_S * ORDER_SHARE
    shard_keys = orders * RETENTION_S / SHARDS
    shard_mb = shard_keys * ledger["memory_mb"] / ledger["keys"]
    order_core = orders / SHARDS * ledger["order_us"] / 1e6
    decision_core = requests * decisions["least_loaded_us"] / 1e6
    saturation_factor = 1e6 / (tokens * relay["token_us"])
    return [
        [
            "entry and relay",
            f"{requests:.1f} requests/s, {tokens:.0f} tokens/s",
            f"{tokens * relay['token_us'] / 1e6:.2f} of a core for tokens, "
            f"{requests * relay['lookup_us'] / 1e6:.3f} for requests",
            "one pass of bytes for each token; the balancer spreads callers",
            f"processor: at {saturation_factor:.1f} times the tokens a core is full",
        ],
        [
            "admission and choice",
            f"{requests:.1f} decisions/s over {REPLICAS} upstreams",
            f"{decision_core:.4f} of a core",
            "sampled sets and a hash ring; limits learned from latency",
            "limits of 320 routers on few upstreams: each holds one call at least",
        ],
        [
            "ledger",
            f"{orders:.0f} orders/s over {SHARDS} shards",
            f"{shard_mb:.0f} MB and {order_core:.3f} of a core for the owner of a "
            "shard at 24 h",
            "group commit by rendezvous owner, sealed segments, an index of their keys",
            f"start of a new owner: it reads the index in {ledger['start_s']:.1f} s",
        ],
        [
            "view and gossip",
            f"{ROUTERS} entries of a member, deltas",
            "see the table of control",
            "push to two, digests with one a second, bridges between zones",
            "digests of a zone beyond 80 routers take turns; a duty of a router that "
            "vanished is taken over after up to 63 s",
        ],
        [
            "configuration",
            f"{CHANGES_PER_DAY / DAY_S * 60:.1f} changes a minute",
            "one fetch from a peer a change",
            "two watchers a zone, versions by gossip",
            "900 KB of rules fetched by 46 routers of a zone from two",
        ],
        [
            "rollout evidence",
            "one entry a router and move, one a zone",
            f"{evidence['plan_ms']:.1f} ms each 0.5 s; "
            f"{evidence['moving_busiest_bytes_per_s'] / 1e3:.1f} KB/s at the busiest "
            "bridge",
            "two aggregators a zone, sums between zones; each router judges",
            f"delay: a call is known everywhere after "
            f"{evidence['known_everywhere_s']:.0f} s, longer with more routes",
        ],
        [
            "placement",
            "one holder a service",
            "one plan a second by the holder",
            "lease by conditional update, fencing numbers",
            "one status call a second for each engine by the holder: 600",
        ],
        [
            "platform client",
            "budget of 60 calls/s a router",
            "negligible",
            "token bucket with reserves by kind, full jitter",
            "the sum of budgets is over the platform's rate in a storm",
        ],
    ]


def point_rows(
    points: dict[str, Any], measurement: str, columns: tuple[str, ...]
) -> list[Row]:
    """Return a row for each size of a measurement, in ascending order."""
    sizes = [
        value["points"]
        for name, value in points.items()
        if name.startswith(f"{measurement}-")
    ]
    sizes.sort(key=lambda size: size[columns[0]])
    return [[f"{round(size[name], 2):g}" for name in columns] for size in sizes]
