/* The share table of tenants' limits (src/tier/quota): two allocators, one unit of a limit, and owners
   of the role that divide it. Each allocator acts by a table that a read confirmed which it sent at most
   LEASE ago; it learns of newer tables late, or not at all while its lease lasts. An owner takes shares
   away at once, and gives them to others only once it has seen the table in force for DELAY. A new owner
   knows nothing of when the table came into force. Changes of former owners arrive late.
   Checked at every grant: the shares by which allocators act sum to WHOLE at most.
   Each guard can be left out with a macro, which must give a counterexample:
     NO_DELAY    shares grow as soon as others have shrunk in the table
     NO_LEASE    an allocator acts on without a confirmation
     NO_MINIMUM  the wanted table replaces the current one in one step
     NO_FENCING  a change of a former owner comes into force, whatever has been changed since
     NO_RESTART  a new owner takes the table to have been in force for long */

#define WHOLE 1
#define LEASE 2
#define DELAY 3
#define LAST 5
#define CHANGES 3

byte t = 1;
/* The control state: the table in force, its revision, the epoch of the role. */
byte share[2];
byte revision = 0;
byte epoch = 1;
byte changes = 0;
/* What each allocator acts by, and when the read was sent that confirmed it. */
byte acting[2];
byte acting_revision[2];
byte confirmed[2];
/* The two processes that may own the role. */
byte own_epoch[2];
byte seen_revision[2];
byte seen_share[4];  /* 2 * owner + allocator */
byte since[2];
/* A change on its way from each owner. */
bool flying[2];
byte flying_epoch[2];
byte flying_revision[2];
byte flying_share[4];

#ifdef NO_LEASE
#define MAY_GRANT(a) (acting[a] > 0)
#else
#define MAY_GRANT(a) (acting[a] > 0 && t - confirmed[a] < LEASE)
#endif

inline Check() {
  assert(!(MAY_GRANT(0) && MAY_GRANT(1)) || acting[0] + acting[1] <= WHOLE)
}

proctype Allocator(byte a) {
  byte sent = 0;
end:
  do
  :: atomic { sent != t && t < LAST ->  /* a read is sent; an earlier one is lost */
       sent = t }
  :: atomic { sent > 0 && (acting_revision[a] != revision || confirmed[a] != sent) ->
       acting[a] = share[a];  /* its response: what is in force now */
       acting_revision[a] = revision;
       confirmed[a] = sent;
       sent = 0;
       Check()
     }
  od
}

proctype Owner(byte o) {
  byte want0;
end:
  do
  :: atomic { t < LAST && epoch < 3 && own_epoch[o] != epoch ->  /* claims the role */
       epoch++;
       own_epoch[o] = epoch;
#ifndef NO_RESTART
       since[o] = t;
#else
       since[o] = 0;
#endif
       seen_revision[o] = revision;
       seen_share[2 * o] = share[0];
       seen_share[2 * o + 1] = share[1]
     }
  :: atomic { own_epoch[o] > 0 && seen_revision[o] != revision ->  /* sees a new table */
       seen_revision[o] = revision;
       seen_share[2 * o] = share[0];
       seen_share[2 * o + 1] = share[1];
       since[o] = t
     }
  :: atomic { t < LAST && own_epoch[o] > 0 && !flying[o] && changes < CHANGES ->  /* wants a table */
       if :: want0 = 0 :: want0 = WHOLE fi;
       flying_epoch[o] = own_epoch[o];
       flying_revision[o] = seen_revision[o];
#ifdef NO_MINIMUM
       flying_share[2 * o] = want0;
       flying_share[2 * o + 1] = WHOLE - want0;
       flying[o] = true;
#else
       if
       :: want0 < seen_share[2 * o] || WHOLE - want0 < seen_share[2 * o + 1] ->
          flying_share[2 * o] = (want0 < seen_share[2 * o] -> want0 : seen_share[2 * o]);
          flying_share[2 * o + 1] =
              (WHOLE - want0 < seen_share[2 * o + 1] -> WHOLE - want0 : seen_share[2 * o + 1]);
          flying[o] = true
       :: else ->
          if
#ifndef NO_DELAY
          :: t - since[o] >= DELAY ->
#else
          :: true ->
#endif
             flying_share[2 * o] = want0;
             flying_share[2 * o + 1] = WHOLE - want0;
             flying[o] = true
          :: else
          fi
       fi;
#endif
       want0 = 0
     }
  :: atomic { flying[o] ->  /* the change arrives */
       flying[o] = false;
       if
#ifndef NO_FENCING
       :: flying_epoch[o] == epoch && flying_revision[o] == revision ->
#else
       :: true ->
#endif
          share[0] = flying_share[2 * o];
          share[1] = flying_share[2 * o + 1];
          revision++;
          changes++
       :: else
       fi
     }
  od
}

proctype Clock() {
end:
  do
  :: atomic { t < LAST -> t++; Check() }
  od
}

init {
  atomic {
    share[0] = WHOLE;
    revision = 1;
    acting[0] = WHOLE;
    acting_revision[0] = 1;
    confirmed[0] = 1;
    acting_revision[1] = 1;
    confirmed[1] = 1;
    run Allocator(0);
    run Allocator(1);
    run Owner(0);
    run Owner(1);
    run Clock()
  }
}
