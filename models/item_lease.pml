/* An item of a lot: its lease at the primary, its failures and its recorded position. A node may be
   frozen and thaw after its lease was given on, messages may be lost, late or come twice, and the
   primary may be replaced by its replica, which knows what was acknowledged and no lease. Two items,
   two edge nodes; a worker's answer to one item is 'failed' or 'complete'. Checked:
     - no item stands at two positions, and no position changes what it holds;
     - an item is given up only after TRIES runs that failed, and each of these is counted;
     - what a node was told is recorded is in the list.
   Each guard can be left out with a macro, which must give a counterexample:
     NO_LISTED    a result is recorded though its item has one
     NO_COUNTED   a failure counts each time that it is told
     NO_REPLICA   the node is told before the replica has the result
     NO_FRESH     a new primary gives numbers to its leases that an earlier one has given
   tools/model runs all of them. */

#define TRIES 2
#define ITEMS 2
#define LEASES 3          /* given out in all; 0 is none */
#define NONE 9

/* The lot at the primary and at its replica. */
byte listed[2 * ITEMS];   /* by position: the item; NONE: nothing yet */
byte total = 0;
byte copy[2 * ITEMS], copied = 0;
byte failures[ITEMS];     /* runs that are counted */
bool counted[LEASES + 1]; /* by a lease's number: its failure is counted */
bool seen[LEASES + 1];    /* the same, by the lease itself */

/* What really happened: by lease given. */
byte item_of[LEASES + 1], number_of[LEASES + 1];
byte given = 0, next_number = 1;
bool failed[LEASES + 1];  /* the worker answered 500 */
bool done[LEASES + 1];    /* the worker's answer was complete */
bool leased[ITEMS];
byte reals[ITEMS];        /* runs that failed in truth */
bool told[ITEMS];         /* a node knows that the item is recorded */
bool replaced = false;

inline find(i) {          /* at == NONE: the item has no result at the primary */
  at = 0;
  do
  :: at < total && listed[at] != i -> at++
  :: at < total && listed[at] == i -> break
  :: at >= total -> at = NONE; break
  od
}

inline check() {
  for (x : 0 .. total - 1) {
    for (y : x + 1 .. total - 1) { assert(listed[x] != listed[y]) }
  }
  x = 0; y = 0
}

inline record(i) {
  listed[total] = i; total++;
  if
  :: total > 1 -> check()
  :: else -> skip
  fi
}

/* Leases, given on when they run out: the node that had one may still run the item. */
active proctype Primary() {
  byte l = 0, i = 0, at = 0, x = 0, y = 0, n = 0;
  atomic {
    for (x : 0 .. 2 * ITEMS - 1) { listed[x] = NONE; copy[x] = NONE }
    x = 0
  }
end:
  do
  :: atomic {                                   /* a lease is given */
       given < LEASES ->
       select(i : 0 .. ITEMS - 1);
       find(i);
       if
       :: at == NONE && !leased[i] ->
            given++; item_of[given] = i; number_of[given] = next_number; next_number++;
            leased[i] = true
       :: else -> skip
       fi;
       i = 0; at = 0
     }
  :: atomic { leased[0] -> leased[0] = false }  /* it runs out */
  :: atomic { leased[1] -> leased[1] = false }
  :: atomic {                                   /* a complete result comes, also once more */
       given > 0 -> select(l : 1 .. given);
       if
       :: done[l] ->
            find(item_of[l]);
            if
#ifdef NO_LISTED
            :: total < 2 * ITEMS -> record(item_of[l])
#else
            :: at == NONE -> record(item_of[l])
#endif
            :: else -> skip
            fi;
            leased[item_of[l]] = false;
#ifdef NO_REPLICA
            told[item_of[l]] = true
#endif
       :: else -> skip
       fi;
       l = 0; at = 0
     }
  :: atomic {                                   /* a failure comes, also once more */
       given > 0 -> select(l : 1 .. given);
       find(item_of[l]);
       n = number_of[l];
       if
#ifdef NO_COUNTED
       :: failed[l] && at == NONE ->
#else
       :: failed[l] && at == NONE && !counted[n] ->
#endif
            counted[n] = true; seen[l] = true; failures[item_of[l]]++; leased[item_of[l]] = false;
            if
            :: failures[item_of[l]] >= TRIES ->
                 assert(reals[item_of[l]] >= TRIES);
                 record(item_of[l])
            :: else -> skip
            fi
#ifndef NO_COUNTED
       :: failed[l] && at == NONE && counted[n] -> assert(seen[l])
#endif
       :: else -> skip
       fi;
       l = 0; at = 0; n = 0
     }
  :: atomic {                                   /* the replica has it: the node is told */
       copied < total ->
       copy[copied] = listed[copied];
       told[listed[copied]] = true;
       copied++
     }
  :: atomic {                                   /* the replica takes over */
       !replaced ->
       replaced = true;
       for (x : 0 .. 2 * ITEMS - 1) { listed[x] = copy[x] }
       total = copied;
#ifdef NO_FRESH
       next_number = 1;
#endif
       for (x : 0 .. ITEMS - 1) {
         leased[x] = false;
         find(x);
         assert(!told[x] || at != NONE)
       }
       x = 0; at = 0
     }
  od
}

/* The nodes with a lease, awake or thawed long after: each lease's run ends once, in any order. */
active proctype Nodes() {
  byte l = 0;
end:
  do
  :: atomic {
       given > 0 -> select(l : 1 .. given);
       if
       :: !failed[l] && !done[l] -> failed[l] = true; reals[item_of[l]]++
       :: !failed[l] && !done[l] -> done[l] = true
       :: else -> skip
       fi;
       l = 0
     }
  od
}
