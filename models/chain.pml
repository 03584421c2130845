/* Repair of the control chain by a new view. A change runs along view 1 (head 0, tail N - 1) while
   two members propose view 2 with ballots 1 and 2. Messages may be lost or late, members may be cut
   off for good (they just take no step), one member may lose its disk, one may lose power. Checked:
     - of all that is decided there is one view 2;
     - a change that the client was told of is in the map from which view 2 starts.
   Each guard can be left out with a macro, which must give a counterexample:
     NO_TAIL      the client is told once the head alone has the change
     NO_SEAL      a member that promised a next view goes on in view 1
     NO_IDENTITY  a wiped member takes part under its old identity
     NO_ADOPT     a proposer passes over what an earlier ballot has accepted
     NO_CERTAIN   a member that is silent counts as gone (N = 2)
     NO_SYNC      a promise is told before it is on disk
     NO_OLDEST    a view starts from a change that a promising member lacks, so that a change
                  without an outcome comes into force with a later view
   tools/model runs all of them. */

#ifndef N
#define N 3
#endif
#define NOBODY 9

/* On disk, by member. */
bool has[N];         /* the change, in view 1 */
byte promised[N];    /* the greatest ballot promised for view 2 */
byte accepted[N];    /* the ballot whose proposal is accepted; 0: none */
bool accepted_has[N];
byte accepted_by[N];

bool wiped[N];
bool losses = false;   /* a disk has been lost */
bool outage = false;   /* power has been lost */

bool sent[N];          /* the member has passed the change on */
bool committed = false, told = false;

bool decided = false, decided_has;
byte decided_by = NOBODY;

#ifdef NO_IDENTITY
#define TAKES_PART(i) true
#else
#define TAKES_PART(i) (!wiped[i])
#endif

#ifdef NO_SEAL
#define SERVES(i) TAKES_PART(i)
#else
#define SERVES(i) (TAKES_PART(i) && promised[i] == 0)
#endif

/* What a client knows must be in what follows. */
inline check() { assert(!(told && decided && !decided_has)) }

/* The change along view 1. */
active proctype Chain() {
  byte i;
end:
  do
  :: d_step { SERVES(0) && !has[0] && !wiped[0] -> has[0] = true }
  :: d_step { SERVES(0) && has[0] && !sent[0] -> sent[0] = true }
  :: d_step { sent[0] && SERVES(1) && !has[1] -> has[1] = true }
#if N > 2
  :: d_step { SERVES(1) && has[1] && !sent[1] -> sent[1] = true }
  :: d_step { sent[1] && SERVES(2) && !has[2] -> has[2] = true }
#endif
#ifdef NO_TAIL
  :: d_step { has[0] && !committed -> committed = true }
#else
  :: d_step { SERVES(N - 1) && has[N - 1] && !committed -> committed = true }
#endif
  /* The acknowledgement arrives, at any time or never. */
  :: d_step { committed && !told -> told = true; check() }
  od
}

/* One disk and one outage. */
active proctype Trouble() {
  byte i;
end:
  do
  :: atomic {
       !losses ->
       losses = true;
       select(i : 0 .. N - 1);
       wiped[i] = true; has[i] = false; sent[i] = false;
       promised[i] = 0; accepted[i] = 0; accepted_has[i] = false; accepted_by[i] = NOBODY;
       i = 0
     }
#ifdef NO_SYNC
  :: atomic {
       !outage ->
       outage = true;
       select(i : 0 .. N - 1);
       if
       :: accepted[i] == 0 -> promised[i] = 0
       :: else -> skip
       fi;
       i = 0
     }
#endif
  od
}

/* A ballot of one member. A wiped proposer has ended. */
proctype Proposer(byte me; byte ballot) {
  bool answered[N], gone[N];
  byte a, answers = 0, absent = 0, former = 0, by = NOBODY;
  bool lacks = false;   /* a promising member does not have the change */
#ifdef NO_OLDEST
  bool base = false;
#else
  bool base = true;
#endif
  if
  :: !wiped[me] -> skip
  :: true -> goto over
  fi;
prepare:
  do
  :: atomic {
       !wiped[me] -> select(a : 0 .. N - 1);
       if
       :: TAKES_PART(a) && !answered[a] && !gone[a] && promised[a] < ballot ->
            promised[a] = ballot; answered[a] = true; answers++;
            if
#ifdef NO_OLDEST
            :: former == 0 && has[a] -> base = true
            :: former == 0 && !has[a] -> lacks = true
#else
            :: former == 0 && !has[a] -> base = false; lacks = true
#endif
            :: else -> skip
            fi;
#ifndef NO_ADOPT
            if
            :: accepted[a] > former ->
                 former = accepted[a]; base = accepted_has[a]; by = accepted_by[a]
            :: else -> skip
            fi;
#endif
#ifdef NO_CERTAIN
       :: a != me && !answered[a] && !gone[a] -> gone[a] = true; absent++
#else
       :: wiped[a] && !answered[a] && !gone[a] -> gone[a] = true; absent++
#endif
       :: else -> skip
       fi;
       a = 0
     }
  :: answers > N / 2 || (answers > 0 && answers + absent == N && absent <= 1 && absent <= N / 2) ->
       break
  :: true -> goto over   /* it gives up, or is cut off */
  od;
  atomic {
    if
    :: by == NOBODY -> by = me; assert(!(base && lacks))
    :: else -> skip
    fi;
    answers = 0;
    for (a : 0 .. N - 1) { answered[a] = false }
    a = 0; former = 0
  }
  do
  :: atomic {
       !wiped[me] -> select(a : 0 .. N - 1);
       if
       :: TAKES_PART(a) && !answered[a] && !gone[a] && promised[a] <= ballot ->
            promised[a] = ballot; accepted[a] = ballot;
            accepted_has[a] = base; accepted_by[a] = by;
            answered[a] = true; answers++
#ifdef NO_CERTAIN
       :: a != me && !answered[a] && !gone[a] -> gone[a] = true; absent++
#else
       :: wiped[a] && !answered[a] && !gone[a] -> gone[a] = true; absent++
#endif
       :: else -> skip
       fi;
       a = 0
     }
  :: answers > N / 2 || (answers > 0 && answers + absent == N && absent <= 1 && absent <= N / 2) ->
       break
  :: true -> goto over
  od;
  atomic {
    assert(!decided || (decided_by == by && decided_has == base));
    decided = true; decided_by = by; decided_has = base;
    check()
  }
over:
  skip
}

init {
  atomic {
    /* The head that was cut off proposes as well, before or after the tail does. */
    if
    :: run Proposer(0, 1); run Proposer(N - 1, 2)
    :: run Proposer(N - 1, 1); run Proposer(0, 2)
    fi
  }
}
