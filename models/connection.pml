/* One unsafe request over kept connections to one worker, beside another request. The worker refuses
   a request (and promises that it never runs) or runs it; each answer may be doubled, and the copy
   comes late, in the place where the next answer on that connection is due; a connection may be
   reset at any time. Checked:
     - the request runs at most once;
     - a client that was told that it has not run was told the truth;
     - no client gets the answer to the other request.
   Each guard can be left out with a macro, which must give a counterexample:
     NO_ID      an answer is taken for that of the request that waits, whatever id it bears
     NO_NEW     a request may stand on a connection that has carried it before
     NO_DOUBT   after a reset a request that was written is sent again
   tools/model runs all of them. */

#define CONNECTIONS 2
#define NOBODY 0
#define UNSAFE 1   /* ids of the two requests */
#define OTHER 2
#define SENDS 3    /* of the unsafe request, at most */

#define REFUSED 1  /* kinds of answers */
#define RAN 2

/* By connection. */
byte waits[CONNECTIONS];      /* the request whose answer is due */
byte at_worker[CONNECTIONS];  /* the request that the worker has and has not answered */
byte copy_id[CONNECTIONS];    /* a copy of an earlier answer that is still to come */
byte copy_kind[CONNECTIONS];
bool carried[CONNECTIONS];    /* it has carried the unsafe request */

byte runs = 0, sends = 0;
bool told_not_run = false, told_ran = false, under_way = false, other_sent = false;

inline check() {
  assert(runs <= 1);
  assert(!told_not_run || runs == 0)
}

/* The node hears an answer on a connection. */
inline hear(c, id, kind) {
#ifndef NO_ID
  if
  :: id != waits[c] -> skip   /* surplus: passed over */
  :: else ->
#endif
    assert(id == waits[c]);
    if
    :: waits[c] == UNSAFE && kind == REFUSED -> under_way = false
    :: waits[c] == UNSAFE && kind == RAN -> under_way = false; told_ran = true
    :: else -> skip
    fi;
    waits[c] = NOBODY
#ifndef NO_ID
  fi
#endif
}

active proctype Node() {
  byte c;
end:
  do
  :: atomic {   /* sends the unsafe request, at first or after a promise */
       !under_way && !told_ran && !told_not_run && sends < SENDS ->
       select(c : 0 .. CONNECTIONS - 1);
       if
#ifdef NO_NEW
       :: waits[c] == NOBODY ->
#else
       :: waits[c] == NOBODY && !carried[c] ->
#endif
            waits[c] = UNSAFE; at_worker[c] = UNSAFE; carried[c] = true;
            under_way = true; sends++
       :: else -> skip
       fi;
       c = 0
     }
  :: atomic {   /* gives up after a promise, and tells the client */
       !under_way && sends > 0 && !told_ran && !told_not_run -> told_not_run = true; check()
     }
  :: atomic {   /* the other request */
       !other_sent -> select(c : 0 .. CONNECTIONS - 1);
       if
       :: waits[c] == NOBODY -> waits[c] = OTHER; at_worker[c] = OTHER; other_sent = true
       :: else -> skip
       fi;
       c = 0
     }
  od
}

active proctype Worker() {
  byte c;
end:
  do
  :: atomic {   /* a copy comes where the next answer is due */
       select(c : 0 .. CONNECTIONS - 1);
       if
       :: copy_id[c] != NOBODY && waits[c] != NOBODY ->
            hear(c, copy_id[c], copy_kind[c]);
            copy_id[c] = NOBODY
       :: else -> skip
       fi;
       c = 0
     }
  :: atomic {   /* answers, and may keep a copy */
       select(c : 0 .. CONNECTIONS - 1);
       if
       :: at_worker[c] != NOBODY ->
            copy_id[c] = at_worker[c];
            at_worker[c] = NOBODY;
            if
            :: copy_id[c] == UNSAFE -> runs++; check(); copy_kind[c] = RAN
            :: copy_id[c] == UNSAFE -> copy_kind[c] = REFUSED
            :: copy_id[c] == OTHER -> copy_kind[c] = RAN
            fi;
            if
            :: waits[c] != NOBODY -> hear(c, copy_id[c], copy_kind[c])
            :: else -> skip   /* a copy was taken for it */
            fi;
            if
            :: copy_id[c] = NOBODY
            :: skip
            fi
       :: else -> skip
       fi;
       c = 0
     }
  :: atomic {   /* a reset, before or after the request has run; another connection takes its place */
       select(c : 0 .. CONNECTIONS - 1);
       if
       :: waits[c] == UNSAFE ->
            if
            :: at_worker[c] == UNSAFE -> runs++; check()
            :: skip
            fi;
#ifdef NO_DOUBT
            under_way = false
#else
            told_ran = true   /* it may have run: never again */
#endif
       :: else -> skip
       fi;
       waits[c] = NOBODY; at_worker[c] = NOBODY; copy_id[c] = NOBODY; carried[c] = false;
       c = 0
     }
  od
}
