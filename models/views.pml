/* Views in a row: a member is added while another one leaves for good with its disk. At first the view
   is member 0, which leaves, alone (or with member 1: TWO); member 2 is new. A view is agreed in one
   step here (models/chain.pml has the agreement, and lost disks), by a majority of the view before;
   it begins once all its members hold the state. A change is committed when all members of the view
   have it. One disk is lost, or goes back to an older copy (DISKS), as soon as the view has begun:
   more are not lost at once. Others may restart meanwhile. Checked: whatever comes,
     - a committed change is held by a member of the view that has not left;
     - a majority of the view has not left, or all but those whose disk is certainly lost.
   Each guard can be left out with a macro, which must give a counterexample:
     NO_WAIT      a member that leaves ends at once
     NO_BEGIN     it ends once a view without it is agreed, not begun
     NO_RELEASE   it ends though another member does not know yet that it leaves
     NO_IDENTITY  a member whose disk was lost goes on as the member that it was
     NO_SIGNS     a disk that went back takes part
     NO_CARRY     what is told of a disk's use comes later than the change that rests on it
     NO_KEPT      what was heard of it is forgotten when those that heard it restart
   tools/model runs all of them. */

#define MEMBERS 3
#define LEAVING 0
#define NEW 2

bool in_view[MEMBERS];      /* of the newest view */
bool holds_view[MEMBERS];   /* the member has that view and its starting state on its disk */
bool holds_change[MEMBERS];
bool gone[MEMBERS];
bool knows[MEMBERS];        /* that member 0 leaves */
bool leaves = false, may_end = false, begun = true, committed = false;
byte views = 0;

#define NOBODY 9
bool wiped[MEMBERS];        /* another disk than the view names: no member of it */
bool trouble = false;       /* the one loss has happened */
byte copied = NOBODY;       /* whose disk there is an older copy of */
bool copy_has_change;
byte copy_view;             /* the number of the view on the copy */
bool heard = false;         /* the others know of use of that disk after the copy */

#define ALIVE(m) (!gone[m])
#define STAYS(m) (in_view[m] && ALIVE(m) && !wiped[m])
#define STAYING (STAYS(0) + STAYS(1) + STAYS(2))
#define VIEW_SIZE (in_view[0] + in_view[1] + in_view[2])
#define LOST(m) (in_view[m] && wiped[m])
#define HAS_MAJORITY (STAYING * 2 > VIEW_SIZE || \
                      (STAYING > 0 && STAYING + LOST(0) + LOST(1) + LOST(2) == VIEW_SIZE))
#define IN_OR_HOLDS(m) (!in_view[m] || (holds_view[m] && !wiped[m]))

inline check() {
  assert(!committed || (STAYS(0) && holds_change[0]) || (STAYS(1) && holds_change[1]) ||
         (STAYS(2) && holds_change[2]));
  /* A majority of the view: of two all, of three two, of one itself. */
  assert(HAS_MAJORITY)
}

/* The view's members as that member would have them: all that it believes to stay. */
inline agree(by) {
  begun = false;
  in_view[0] = ALIVE(0) && !(leaves && knows[by]);
  in_view[1] = ALIVE(1);
  in_view[2] = ALIVE(2);
  holds_view[0] = false; holds_view[1] = false; holds_view[2] = false;
  holds_view[by] = true;   /* also where it is no member any more */
  wiped[0] = false; wiped[1] = false; wiped[2] = false;   /* named by their present disks */
  views++;
  check_start(by)
}

/* What is committed is in the state that the view starts from. */
inline check_start(by) { assert(!committed || holds_change[by]) }

/* What a new view starts from is that of the furthest of the majority, which all committed changes
   are in: a member takes it over from any other that holds the view. */
proctype Views() {
  byte m, from;
end:
  do
  :: atomic {   /* the next view */
       begun && views < 4 -> select(m : 0 .. 2);
       if
       :: STAYS(m) && holds_view[m] && HAS_MAJORITY &&
          (in_view[0] != (ALIVE(0) && !(leaves && knows[m])) || in_view[2] != ALIVE(2) ||
           LOST(0) || LOST(1) || LOST(2)) ->
            agree(m)
       :: else -> skip
       fi;
       m = 0
     }
  :: atomic {   /* a member takes the view and its state over */
       select(m : 0 .. 2); select(from : 0 .. 2);
       if
       :: STAYS(m) && !holds_view[m] && holds_view[from] && ALIVE(from) && !wiped[from] ->
            holds_view[m] = true; holds_change[m] = holds_change[from]
       :: else -> skip
       fi;
       m = 0; from = 0
     }
  :: atomic {
       !begun && IN_OR_HOLDS(0) && IN_OR_HOLDS(1) && IN_OR_HOLDS(2) -> begun = true
     }
  :: atomic {   /* a change, on the disks of all members */
       begun && !committed && (!in_view[0] || STAYS(0)) && (!in_view[1] || STAYS(1)) &&
       (!in_view[2] || STAYS(2)) ->
       holds_change[0] = in_view[0]; holds_change[1] = in_view[1]; holds_change[2] = in_view[2];
       committed = true;
#ifndef NO_CARRY
       if
       :: copied != NOBODY && in_view[copied] -> heard = true
       :: else -> skip
       fi;
#endif
       check()
     }
  od
}

proctype Leaving() {
  byte m;
end:
  do
  :: atomic { !leaves -> leaves = true; knows[LEAVING] = true }
  :: atomic {   /* a sign of it arrives */
       leaves -> select(m : 1 .. 2); knows[m] = true; m = 0
     }
  :: atomic {   /* it has seen that it may end; what comes after, it does not see */
#ifdef NO_WAIT
       leaves ->
#else
#ifdef NO_BEGIN
       leaves && !in_view[LEAVING] && (gone[1] || knows[1]) && knows[2] ->
#else
#ifdef NO_RELEASE
       leaves && !in_view[LEAVING] && begun ->
#else
       leaves && !in_view[LEAVING] && begun && (gone[1] || knows[1]) && knows[2] ->
#endif
#endif
#endif
       may_end = true
     }
  :: atomic { may_end && ALIVE(LEAVING) -> gone[LEAVING] = true; check() }
  od
}

#ifdef DISKS
/* The disk of one member is lost, or an older copy of it is put back under the member. */
proctype Disks() {
  byte m;
end:
  do
  :: atomic {
       !trouble && begun && STAYING >= 2 -> select(m : 0 .. 2);
       if
       :: STAYS(m) && !(may_end && m == LEAVING) ->
            trouble = true; holds_change[m] = false; holds_view[m] = false; knows[m] = false;
#ifdef NO_IDENTITY
            holds_view[m] = true
#else
            wiped[m] = true
#endif
       :: else -> skip
       fi;
       m = 0
     }
  :: atomic {   /* a copy is made */
       !trouble && copied == NOBODY -> select(m : 0 .. 2);
       if
       :: STAYS(m) && holds_view[m] ->
            copied = m; copy_has_change = holds_change[m]; copy_view = views
       :: else -> skip
       fi;
       m = 0
     }
#ifdef NO_KEPT
  :: atomic { heard -> heard = false }   /* all that have heard of it restart */
#endif
  :: atomic {   /* it is put back: found by what the others have heard, or taken for what it is */
       !trouble && copied != NOBODY && begun && STAYING >= 2 && STAYS(copied) &&
       !(may_end && copied == LEAVING) ->
       trouble = true; holds_change[copied] = copy_has_change;
       if
#ifndef NO_SIGNS
       :: heard || copy_view != views ->   /* each view is written, so its disks are heard of */
            wiped[copied] = true; holds_view[copied] = false; holds_change[copied] = false;
            knows[copied] = false
#endif
       :: else -> skip
       fi
     }
  od
}
#endif

init {
  atomic {
    in_view[0] = true; holds_view[0] = true;
#ifdef TWO
    in_view[1] = true; holds_view[1] = true;
#else
    gone[1] = true;
#endif
    run Views(); run Leaving();
#ifdef DISKS
    run Disks()
#endif
  }
}
