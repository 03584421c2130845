/* One partition on two of three stores, each change on COPIES disks, one disk lost at a time, at any moment,
   while others may be down with their disks. The table is agreed, and stores act under the newest only
   (epochs, fences: chain.pml, views.pml). A set of changes is a bit mask. Checked: whenever a disk is lost,
   another replica of the table has everything that was acknowledged or shown; and an active primary has it.
   Each guard can be left out with a macro, which must give a counterexample:
     DROP_AWAY   a replica that is down leaves the table while another one is up
     NO_MINIMUM  a change is acknowledged or shown on fewer disks than COPIES, under an earlier build's table
     EAGER       a primary shows what it has without the replicas that are down
     UNFILLED    a joiner becomes a replica before it has everything
     NAME_ONLY   a store that comes back without its disk counts as the replica of its name
     FORGETFUL   a joiner that was reported as filled is not waited for
     AWAY_COUNTS a replica that is down counts as lost before its new disk is seen
   A lost disk that was replaced in the table by nothing yet (`gone`) makes up for a missing replica; with
   REACH a change is acknowledged beside it, with REACH_RESTART also by a primary that was down since.
   OLD_TABLE begins with a table that names one replica only, as earlier builds left it.
   tools/model runs all of them. */

#define STORES 3
#define COPIES 2
#define CHANGES 2
#define NONE 9
#define BIT(i) (1 << (i))
#define NAMED(i) ((replicas & BIT(i)) != 0)
#define HAS(i, changes) ((held[i] & (changes)) == (changes))
#define PROMISED (acknowledged | shown)
#define SIZE ((replicas & 1) + ((replicas >> 1) & 1) + ((replicas >> 2) & 1))

byte held[STORES];                  /* changes on the disk */
byte up = 7, lost = 0;              /* stores; replicas of the table whose disk is gone */
byte replicas, primary = 0, joiner = NONE;
bool serving = false, filled = false;  /* filled: reported, for this epoch */
bool loss = false;                  /* a disk is lost and not yet made good */
byte gone = 0;                      /* lost disks that have left the table and are not yet replaced */
bool restarted = false;             /* the primary was down since one did */
byte next = 0, acknowledged = 0, shown = 0;
byte losses = 0, tables = 0;

#define UP(i) ((up & BIT(i)) != 0)
#define GOOD(i) (UP(i) && NAMED(i) && (lost & BIT(i)) == 0)
/* All other replicas have what the primary has. */
#define SAME(i) (!NAMED(i) || (GOOD(i) && held[i] == held[primary]))
#define SYNCED (SAME(0) && SAME(1) && SAME(2))
#ifdef FORGETFUL
#define JOINED true
#else
#define JOINED (joiner == NONE || !filled || (UP(joiner) && held[joiner] == held[primary]))
#endif
#ifdef EAGER
#define MAY_ACTIVATE ((SAME(0) || !UP(0)) && (SAME(1) || !UP(1)) && (SAME(2) || !UP(2)))
#else
#define MAY_ACTIVATE SYNCED
#endif
#ifdef AWAY_COUNTS
#define MISSING (gone + (NAMED(0) && !UP(0)) + (NAMED(1) && !UP(1)) + (NAMED(2) && !UP(2)))
#define WAITS_FOR_REPLICA(i) (NAMED(i) && UP(i))
#else
#define MISSING gone
#define WAITS_FOR_REPLICA(i) NAMED(i)
#endif
#ifdef NO_MINIMUM
#define ENOUGH true
#else
#define ENOUGH (SIZE + MISSING >= COPIES)
#endif
#ifdef FORGETFUL
#define WAITS(i) WAITS_FOR_REPLICA(i)
#else
#define WAITS(i) (WAITS_FOR_REPLICA(i) || (joiner == (i) && filled))
#endif
#define ACKED_BY(i, change) (!WAITS(i) || HAS(i, change))
#define AVAILABLE (GOOD(0) + GOOD(1) + GOOD(2))

inline new_table() { tables++; filled = false; }

/* Another replica of the table, with its disk, has all that was promised. */
#define SURVIVES(i) ((NAMED(0) && (i) != 0 && !(lost & BIT(0)) && HAS(0, PROMISED)) || \
                     (NAMED(1) && (i) != 1 && !(lost & BIT(1)) && HAS(1, PROMISED)) || \
                     (NAMED(2) && (i) != 2 && !(lost & BIT(2)) && HAS(2, PROMISED)))

proctype store(byte i) {
  byte change;
  do
  :: atomic { UP(i) -> up = up & ~BIT(i);
       if :: i == primary -> serving = false; restarted = (gone > 0) :: else fi }
  :: atomic { !UP(i) -> up = up | BIT(i);
#ifdef NAME_ONLY
       lost = lost & ~BIT(i)
#endif
     }
  :: atomic { !loss && losses < 2 ->
       assert(PROMISED == 0 || !NAMED(i) || SURVIVES(i));
       loss = true; losses++; held[i] = 0; up = up & ~BIT(i);
       if :: NAMED(i) -> lost = lost | BIT(i) :: else fi;
       if :: i == joiner -> joiner = NONE; filled = false :: else fi;
       if :: i == primary -> serving = false :: else fi }
  od
}

active proctype partition() {
  byte i, change;
#ifdef OLD_TABLE
  replicas = 1;
#else
  replicas = 3;
#endif
  run store(0); run store(1); run store(2);
  do
  /* The primary. */
  :: atomic { GOOD(primary) && !serving && MAY_ACTIVATE && ENOUGH && JOINED ->
       serving = true; assert(HAS(primary, PROMISED)); shown = shown | held[primary] }
  :: atomic { serving && next < CHANGES -> held[primary] = held[primary] | BIT(next); next++ }
  :: atomic { GOOD(primary) -> select(i : 0 .. 2);
       if :: i != primary && GOOD(i) -> held[i] = held[primary] :: else fi }
  :: atomic { serving && ENOUGH -> change = held[primary];
       if :: ACKED_BY(0, change) && ACKED_BY(1, change) && ACKED_BY(2, change) ->
#ifdef REACH
               assert(change == 0 || SIZE >= COPIES);
#endif
#ifdef REACH_RESTART
               assert(change == 0 || SIZE >= COPIES || !restarted);
#endif
               acknowledged = acknowledged | change
       :: else fi }
  :: atomic { GOOD(primary) && joiner != NONE && UP(joiner) ->
       held[joiner] = held[primary]; filled = true }
  /* The placement. */
  :: atomic { tables < 6 -> select(i : 0 .. 2);
       if
       :: !GOOD(primary) && GOOD(i) -> primary = i; serving = false; new_table()
       :: UP(i) && (lost & BIT(i)) && NAMED(i) && SIZE > 1 ->   /* its new disk is seen */
            replicas = replicas & ~BIT(i); lost = lost & ~BIT(i); gone++; restarted = false;
            if :: i == primary ->
                    primary = (NAMED(0) -> 0 : (NAMED(1) -> 1 : 2)); serving = false
            :: else fi;
            new_table()
       :: UP(i) && !NAMED(i) && joiner == NONE && AVAILABLE < COPIES -> joiner = i; new_table()
#ifdef DROP_AWAY
       :: !UP(i) && NAMED(i) && i != primary && SIZE > 1 -> replicas = replicas & ~BIT(i); new_table()
#endif
#ifdef UNFILLED
       :: i == joiner && UP(i) ->
#else
       :: i == joiner && UP(i) && filled ->
#endif
            replicas = replicas | BIT(i); joiner = NONE;
            if :: AVAILABLE >= COPIES -> 
                    replicas = (GOOD(0) -> 1 : 0) | (GOOD(1) -> 2 : 0) | (GOOD(2) -> 4 : 0);
                    lost = lost & replicas
            :: else fi;
            if :: SIZE >= COPIES -> gone = 0 :: else fi;
            new_table()
       :: else
       fi }
  /* The loss is made good. */
  :: atomic { loss && SIZE >= COPIES && AVAILABLE == SIZE && serving && SYNCED -> loss = false }
  od
}
