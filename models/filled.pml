/* A partition with one replica, its primary, and a joining store that is being filled. The primary tells the
   placement that the joiner holds everything; the placement may make the joiner a replica by that
   report at any later moment of the epoch, also once the primary is gone. The primary may be killed and
   start again on its disk within the epoch. Checked: a joiner that is made a replica has all that was
   acknowledged. Each guard can be left out with a macro, which must give a counterexample:
     NO_RECORD    what was reported is kept in memory alone
     LATE_RECORD  it is reported before it is on the disk
     NO_WAIT      a joiner that is required is not waited for
   tools/model runs all of them. */

#define MOST 3   /* changes */

byte log = 0, acknowledged = 0;   /* of the primary's disk; told to clients */
byte joiner = 0;                  /* what the joiner has on its disk */
bool streaming = false;           /* the joiner gets each change, from the first that it lacks on */
bool required = false;            /* in the primary's memory: no change is acknowledged without it */
bool recorded = false;            /* on the primary's disk: the joiner may have been reported */
bool reported = false;            /* at the placement */
bool promoted = false;

#ifdef NO_WAIT
#define HELD true
#else
#define HELD (!required || joiner >= log)
#endif

active proctype partition() {
  do
  :: promoted -> break
  /* A change reaches the primary's disk. */
  :: !promoted && log < MOST -> log++
  /* All that is on its disk is acknowledged, once those that it waits for have it. */
  :: !promoted && acknowledged < log && HELD -> acknowledged = log
  /* The joiner is brought up to date, and gets what follows from then on. */
  :: !promoted && !streaming -> atomic { joiner = log; streaming = true; required = true }
  :: !promoted && streaming && joiner < log -> joiner++
  /* The path to it ends: it stays required. */
  :: !promoted && streaming -> streaming = false
#ifndef NO_RECORD
  :: !promoted && required && !recorded && joiner >= acknowledged -> recorded = true
#endif
#if defined(NO_RECORD) || defined(LATE_RECORD)
  :: !promoted && required && streaming && joiner >= acknowledged -> reported = true
#else
  :: !promoted && recorded && required && streaming && joiner >= acknowledged -> reported = true
#endif
  /* The primary is killed, and starts again on its disk in the same epoch. */
  :: !promoted -> atomic { streaming = false; required = recorded }
  :: !promoted && reported -> atomic { promoted = true; assert(joiner >= acknowledged) }
  od
}
