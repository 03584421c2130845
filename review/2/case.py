"""A store that is being filled is counted in on the word of a process that has since been killed."""

import os
import random
import re
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import tier as lib  # noqa: E402

PARTITIONS = 32
BODY_BYTES = 60_000  # of the lot that each partition holds: filling a store takes about a second
LINK_MBPS = 60.0
FILL_BEGUN_S = 0.05  # from the proposal that lets the empty store join
FILL_S = 0.72  # for which the controller stands still while the store is filled
ACCEPT_S = 1.15  # from the freeze on: until then lots are handed in
# As on the sheets of the grown deployments.
BOUNDS = {"contact_ms": 4000, "ack_ms": 5000, "sync_s": 6, "drain_ms": 2500, "apply_ms": 2500,
          "stretch_ms": 6000, "recover_s": 15, "pass_ms": 200}
DOWN_S = 2.8


def partition_of(lot):
    """As the stores place it, so that there is a lot in each partition."""
    value = 14695981039346656037
    for byte in lot.encode():
        value = ((value ^ byte) * 1099511628211) % (1 << 64)
    return (value >> 32) % PARTITIONS


def lots_in_each_partition(count):
    lots = {}
    while sum(map(len, lots.values())) < count * PARTITIONS:
        lot = "%016x" % random.getrandbits(64)
        mine = lots.setdefault(partition_of(lot), [])
        if len(mine) < count:
            mine.append(lot)
    return [lot for mine in lots.values() for lot in mine]


def proposal_times(edge):
    return [int(time_ms) for time_ms in
            re.findall(r'"time_ms":(\d+)[^\n]*"placement proposed"', edge.log())]


def wait_for_proposal(tier, after_ms):
    """The node that places partitions, as soon as it has proposed something after that time."""
    end = time.monotonic() + 15
    while time.monotonic() < end:
        for edge in tier.edges:
            if any(time_ms > after_ms for time_ms in proposal_times(edge)):
                return edge
        time.sleep(0.005)
    raise lib.CannotRun("no store is placed")


def accept(tier, nodes, lots, body, within, timeout):
    """Hands the lots in until each has its 202 or the time is over; the accepted ones."""
    end = time.monotonic() + within

    def one(lot):
        while time.monotonic() < end:
            if lib.hand_in(tier, random.choice(nodes), lot, body(lot), timeout) == 202:
                return True
            time.sleep(0.02)
        return False
    return [lot for lot, taken in zip(lots, lib.in_parallel(one, lots, 32)) if taken]


def status_of(tier, lot):
    """200 or 404 as soon as a node says so; else the last status."""
    status, end = 0, time.monotonic() + 15
    while time.monotonic() < end:
        status, _ = lib.read_lot(tier, random.choice(tier.edges), lot)
        if status in (200, 404):
            break
        time.sleep(0.5)
    return status


def case(record, trouble):
    tier = lib.Tier(record, edges=3, stores=2, workers=0, link_mbps=LINK_MBPS, bounds=BOUNDS)
    tier.configure([lib.BULK_ROUTE])
    early = accept(tier, tier.edges, lots_in_each_partition(1),
                   lambda lot: lib.lot_body(lot, 1, bytes(BODY_BYTES)), 20, 3.0)
    if len(early) < PARTITIONS:
        raise lib.CannotRun("lots are not accepted")
    time.sleep(BOUNDS["sync_s"])
    source, joiner = tier.stores
    takers = tier.edges
    if trouble:
        joiner.kill()
        joiner.lose_disk()
        time.sleep(2.0)
        before_ms = max(max(proposal_times(edge), default=0) for edge in tier.edges)
        joiner.start()
        controller = wait_for_proposal(tier, before_ms)
        time.sleep(FILL_BEGUN_S)
    frozen_at = time.monotonic()
    if trouble:
        controller.freeze()
        time.sleep(FILL_S)
        joiner.freeze()
        source.kill()
        source.start()
        takers = [edge for edge in tier.edges if edge is not controller]
    late = accept(tier, takers, lots_in_each_partition(2), lib.lot_body,
                  frozen_at + ACCEPT_S - time.monotonic(), 0.3)
    if trouble:
        source.kill()
        controller.thaw()
        joiner.thaw()
    record.say("accepted: %d before, %d later, until %.2f s after the freeze"
               % (len(early), len(late), time.monotonic() - frozen_at))
    if not late:
        raise lib.CannotRun("no lot was accepted while the store was being filled")
    if trouble:
        time.sleep(DOWN_S)
        source.start()
        time.sleep(BOUNDS["recover_s"] + BOUNDS["sync_s"])
    lost = []
    for group, lots in (("before", early), ("later", late)):
        statuses = lib.in_parallel(lambda lot: status_of(tier, lot), lots, 32)
        mine = [(lot, status) for lot, status in zip(lots, statuses) if status != 200]
        record.say("%s: %d accepted lots cannot be read: %s" % (
            group, len(mine), ", ".join("%s %d" % one for one in mine[:4])))
        lost += mine
    return lib.BROKEN if lost else lib.HELD


lib.main(FOLDER, case)
