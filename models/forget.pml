/* Two quorum members are cut off from each other, and an operator tells each that the other one is
   lost for good. A member goes on alone in view 2 once a majority of three stores has voted for it; a
   store votes once for a view, on its disk. Stores restart. The members may also agree on view 2
   together when the cut heals. A change is committed when all members of the view have it. Checked:
     - view 2 has one set of members: not both go on alone, and neither after they have agreed;
     - a change that a client was told of is in the state that view 2 starts from.
   Each guard can be left out with a macro, which must give a counterexample:
     NO_VOTES     a member goes on when it is told to
     ONE_VOTE     a single store's vote is enough
     NO_DISK      a store that restarts has forgotten its vote
     VOTES_AGAIN  a store votes for whoever asks
     NO_SEAL      a member that went on alone still takes part in an agreement on view 2
   tools/model runs all of them. */

#define STORES 3
#define NOBODY 9

byte vote[STORES];
byte votes[2];
bool has_vote[6];        /* of store s for member m: at 2 * s + m */
bool alone[2];           /* the member goes on without the other one */
bool agreed = false;     /* both have agreed on view 2 */
bool has[2];             /* the change, in view 1 */
bool told = false;

#ifdef NO_VOTES
#define ELECTED(m) true
#else
#ifdef ONE_VOTE
#define ELECTED(m) (votes[m] >= 1)
#else
#define ELECTED(m) (votes[m] >= 2)
#endif
#endif

inline check() {
  assert(!(alone[0] && alone[1]));
  assert(!(agreed && (alone[0] || alone[1])));
  assert(!told || has[0] || !alone[0]);
  assert(!told || has[1] || !alone[1])
}

proctype Member(byte me) {
  byte s;
end:
  do
  :: atomic {   /* it asks a store */
       select(s : 0 .. 2);
       if
#ifdef VOTES_AGAIN
       :: !has_vote[2 * s + me] ->
#else
       :: (vote[s] == NOBODY || vote[s] == me) && !has_vote[2 * s + me] ->
#endif
            vote[s] = me; has_vote[2 * s + me] = true; votes[me]++
       :: else -> skip
       fi;
       s = 0
     }
  :: atomic { ELECTED(me) && !alone[me] && !agreed -> alone[me] = true; check() }
  od
}

proctype View1() {
end:
  do
  :: atomic { !alone[0] && !agreed && !has[0] -> has[0] = true }
  :: atomic { has[0] && !alone[0] && !alone[1] && !agreed && !has[1] -> has[1] = true }
  :: atomic { has[0] && has[1] && !told -> told = true; check() }
#ifdef NO_SEAL
  :: atomic { !agreed -> agreed = true; check() }
#else
  :: atomic { !agreed && !alone[0] && !alone[1] -> agreed = true; check() }
#endif
  od
}

#ifdef NO_DISK
proctype Restarts() {
  byte s;
end:
  do
  :: atomic { select(s : 0 .. 2); vote[s] = NOBODY; s = 0 }
  od
}
#endif

init {
  atomic {
    vote[0] = NOBODY; vote[1] = NOBODY; vote[2] = NOBODY;
    run Member(0); run Member(1); run View1();
#ifdef NO_DISK
    run Restarts()
#endif
  }
}
