/* Parts of a budget that are lent for a lease: one giver that may crash at any step and knows nothing
   afterwards, one receiver that may too, words that are lost, doubled, late and out of order, and
   clocks that differ by SKEW. What the giver may lend is MOVABLE; grants of one or two may overtake
   each other. Checked at every step: what both may spend of it is never more than MOVABLE.
   Each guard can be left out with a macro, which must give a counterexample:
     NO_HOLD        what was lent stays in the giver's own part
     NO_MAX         the giver counts the last grant alone, though an earlier, larger one may be held
     NO_QUARANTINE  a new process of the giver uses all at once
     NO_EXPIRY      the receiver spends on after its lease
     NO_SKEW        neither allows for the other's clock
   A process stopped for any time is one that takes no step while time goes on: it looks at its clock
   before it spends, which is what the parts below do. tools/model runs all of them. */

#define MOVABLE 2
#define LEASE 3
#define LAST 9
#define GRANTS 3
#ifndef SKEW
#define SKEW 1
#endif
#ifdef NO_SKEW
#define ALLOW 0
#else
#define ALLOW SKEW
#endif

byte t = 2;              /* the giver's clock */
byte ahead = 1;          /* the receiver's is t + ahead - 1: one behind, the same, one ahead */
byte amount[GRANTS];
byte until[GRANTS];
bool known[GRANTS];      /* to the giver's process */
bool flying[GRANTS];
byte n = 0;
byte settles = 0;        /* until when a new process of the giver has nothing to lend or use */
byte have = 0;
byte have_until = 0;
byte lent;
byte mine;
byte theirs;
byte crashes = 0;

inline Lent() {
  lent = 0;
#ifndef NO_HOLD
#ifdef NO_MAX
  if
  :: n > 0 && known[n - 1] && t < until[n - 1] + ALLOW -> lent = amount[n - 1]
  :: else
  fi;
#else
  if :: known[0] && t < until[0] + ALLOW && amount[0] > lent -> lent = amount[0] :: else fi;
  if :: known[1] && t < until[1] + ALLOW && amount[1] > lent -> lent = amount[1] :: else fi;
  if :: known[2] && t < until[2] + ALLOW && amount[2] > lent -> lent = amount[2] :: else fi;
#endif
#endif
}

inline Check() {
  Lent();
#ifdef NO_QUARANTINE
  mine = MOVABLE - lent;
#else
  if :: t < settles -> mine = 0 :: else -> mine = MOVABLE - lent fi;
#endif
#ifdef NO_EXPIRY
  theirs = have;
#else
  if :: t + ahead - 1 < have_until - ALLOW -> theirs = have :: else -> theirs = 0 fi;
#endif
  assert(mine + theirs <= MOVABLE);
  lent = 0; mine = 0; theirs = 0
}

inline Give(much) {
  atomic {
    amount[n] = much; until[n] = t + LEASE; known[n] = true; flying[n] = true; n++;
    Check()
  }
}

inline Arrive(i) {
  atomic { have = amount[i]; have_until = until[i]; Check() }
}

active proctype Fleet() {
#if SKEW > 0
  if :: ahead = 0 :: ahead = 1 :: ahead = 2 fi;
#endif
  do
  :: t < LAST -> atomic { t++; Check() }
  :: n < GRANTS && t >= settles && t + LEASE < LAST -> Give(1)
  :: n < GRANTS && t >= settles && t + LEASE < LAST -> Give(2)
  :: flying[0] -> Arrive(0)                      /* and again */
  :: flying[1] -> Arrive(1)
  :: flying[2] -> Arrive(2)
  :: flying[0] -> flying[0] = false              /* lost, or no more copies of it */
  :: flying[1] -> flying[1] = false
  :: flying[2] -> flying[2] = false
  :: crashes < 2 -> atomic {                     /* the giver */
       crashes++;
       known[0] = false; known[1] = false; known[2] = false;
       settles = t + LEASE + 2 * ALLOW;
       Check()
     }
  :: have > 0 -> atomic { have = 0; have_until = 0 }   /* the receiver */
  :: t == LAST -> break
  od
}
