"""One store is down with its disk kept, another one loses its disk meanwhile (tolerance: 1)."""

import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import tier as lib  # noqa: E402

LOTS = 48  # spread over all partitions
DOWN_S = 2.8  # of the first store
TAKEOVER_S = 1.2  # until its partitions are served by the others
WIPED_S = 1.0  # of the second store


def new_lots(group):
    """Ids as clients make them, with the group in front for the record."""
    return ["%s%016x" % (group, random.getrandbits(64)) for _ in range(LOTS)]


def accept(tier, lots):
    """Hands the lots in until each has its 202."""
    def one(lot):
        body = lib.lot_body(lot)
        for _ in range(6):
            if lib.hand_in(tier, random.choice(tier.edges), lot, body, 3.0) == 202:
                return True
            time.sleep(0.1)
        return False
    return [lot for lot, taken in zip(lots, lib.in_parallel(one, lots)) if taken]


def readable(tier, lot, until):
    """The whole lot, as any node gives it within the time left; else the last status."""
    status = 0
    while time.monotonic() < until:
        status, answer = lib.read_lot(tier, random.choice(tier.edges), lot)
        if status == 200:
            return answer
        time.sleep(0.5)
    return status


def case(record, trouble):
    tier = lib.Tier(record)
    tier.configure([lib.BULK_ROUTE])
    tier.start_workers()
    first, second = tier.stores[1], tier.stores[0]
    warm = accept(tier, new_lots("warm-"))
    if len(warm) < LOTS:
        raise lib.CannotRun("lots are not accepted")
    time.sleep(lib.BOUNDS["sync_s"] + lib.BOUNDS["contact_ms"] / 1000)
    before = accept(tier, new_lots("before-"))

    down_at = time.monotonic()
    if trouble:
        first.kill()
    time.sleep(TAKEOVER_S)
    meanwhile = accept(tier, new_lots("meanwhile-"))
    if trouble:
        second.kill()
        second.lose_disk()
        time.sleep(WIPED_S)
        second.start()
        time.sleep(max(0.0, down_at + DOWN_S - time.monotonic()))
        first.start()
    record.say("accepted: %d before, %d meanwhile" % (len(before), len(meanwhile)))

    time.sleep(lib.BOUNDS["recover_s"] + lib.BOUNDS["sync_s"])
    until = time.monotonic() + 15
    lots = warm + before + meanwhile
    answers = lib.in_parallel(lambda lot: readable(tier, lot, until), lots, 48)
    lost = [(lot, answer) for lot, answer in zip(lots, answers) if isinstance(answer, int)]
    for group in ("warm", "before", "meanwhile"):
        mine = [one for one in lost if one[0].startswith(group)]
        record.say("%s: %d accepted lots cannot be read: %s" % (
            group, len(mine), ", ".join("%s %d" % one for one in mine[:4])))
    return lib.BROKEN if lost else lib.HELD


lib.main(FOLDER, case)
