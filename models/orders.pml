/* Orders of operators under one number. Orders A and B build on the same version; C builds on
   whichever of them was taken, and is sent once that has been. Each is sent again, at any node and any number of times, also after
   others were built on it; changes are late on their way to the head. Nodes judge by what they have
   seen, which may be old. Checked:
     - at most one of A and B is acknowledged;
     - an order that was taken is never refused, one that was refused is never taken.
   Each guard can be left out with a macro, which must give a counterexample:
     NO_EXPECTED  the head does not look at the revision that a change expects
     NO_MARK      what has been taken is judged by what is current alone
     NO_TOGETHER  the mark is committed after the configuration, not with it
     NO_STRICT    an order is refused by the state that a node has seen
   tools/model runs all of them. */

#define A 0
#define B 1
#define C 2
#define ORDERS 3
#define NODES 2
#define NONE 9

/* The control state: its revision is the number of orders taken. */
byte current = NONE, revision = 0;
bool marked[ORDERS];
byte unmarked = NONE;   /* committed, its mark is not yet (NO_TOGETHER) */

/* What a node has seen. */
byte seen[NODES], seen_revision[NODES];

/* Changes on their way to the head: those of A and B expect revision 0, those of C revision 1. */
bool under_way[ORDERS];
bool taken[ORDERS], told[ORDERS], refused[ORDERS];

#define PARENT_OF(order) (order == C -> 1 : 0)

inline check() {
  assert(!(told[A] && told[B]));
  assert(!(taken[A] && refused[A]) && !(taken[B] && refused[B]) && !(taken[C] && refused[C]))
}

inline mark(order) { marked[order] = true }

active proctype Head() {
  byte order;
end:
  do
  :: atomic {
       select(order : A .. C);
       if
#ifdef NO_EXPECTED
       :: under_way[order] && !taken[order] ->
#else
       :: under_way[order] && revision == PARENT_OF(order) ->
#endif
            under_way[order] = false;
            current = order; revision++; taken[order] = true;
#ifdef NO_TOGETHER
            unmarked = order;
#else
            mark(order);
#endif
            check()
       :: under_way[order] && revision != PARENT_OF(order) -> under_way[order] = false
       :: else -> skip
       fi;
       order = 0
     }
#ifdef NO_TOGETHER
  :: atomic { unmarked != NONE -> mark(unmarked); unmarked = NONE }
#endif
  od
}

/* A node answers one call after another. */
proctype Node(byte me) {
  byte order;
  byte known, known_revision;
  bool is_taken;
end:
  do
  :: atomic { seen[me] = current; seen_revision[me] = revision }   /* it learns */
  :: atomic {
       select(order : A .. C);
       /* An order on the newest version that this node has seen goes to the head; the mark of any
          other is looked for, by a strict read. */
       known = seen[me]; known_revision = seen_revision[me];
       if
       :: order == C && revision == 0 -> skip
       :: known_revision == PARENT_OF(order) && known != order &&
          !(order == C && revision == 0) ->
            under_way[order] = true
       :: else ->
#ifndef NO_STRICT
            known = current; known_revision = revision;
#endif
#ifdef NO_MARK
            is_taken = (known == order);
#else
#ifdef NO_STRICT
            is_taken = (known == order);
#else
            is_taken = marked[order] || known == order;
#endif
#endif
            if
            :: is_taken -> told[order] = true; check()
            :: !is_taken && known_revision == PARENT_OF(order) -> under_way[order] = true
            :: else -> refused[order] = true; check()
            fi
       fi;
       order = 0; is_taken = false; known = 0; known_revision = 0
     }
  od
}

init {
  atomic {
    seen[0] = NONE; seen[1] = NONE;
    run Node(0); run Node(1)
  }
}
