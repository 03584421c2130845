/* Durable jobs: one `once` job, a node that may crash at any step, workers that know fences or do not,
   messages that may be lost or late. The store is what survives a crash. Checked:
     - the job never takes effect twice;
     - it comes to an end state, or to a doubt that a person may settle.
   Each guard can be left out with a macro, which must give a counterexample:
     NO_INTENT   the attempt goes out before its intent is durable
     NO_DOUBT    a lease that ran out puts the job back in the queue
     NO_FENCE    a doubt is given out again where the old attempt can still take effect
   tools/model runs all of them. */

#ifndef FENCES
#define FENCES 1
#endif

mtype = { queued, running, doubt, served };

/* the store: durable */
mtype state = queued;
byte intent = 0;    /* the fence of the last attempt whose intent is written */

/* the translation memory, behind the workers */
byte applied = 0;   /* how often the job has taken effect */
byte seen = 0;      /* the highest fence it has met */

/* attempts on their way or running, by fence 1 to 3: they may arrive at any later time */
bool flying[4];
bool told = false;  /* a worker's 'done' that the node may hear, now or after a restart */
byte crashes = 0;

/* A worker applies what reaches it, late or soon. */
active proctype Workers() {
  byte f;
end:
  do
  :: atomic { flying[1] -> f = 1; flying[1] = false }; goto arrive
  :: atomic { flying[2] -> f = 2; flying[2] = false }; goto arrive
  :: atomic { flying[3] -> f = 3; flying[3] = false }; goto arrive
  od;
arrive:
  atomic {
    if
#if FENCES
    :: applied > 0 -> told = true            /* done already: it says so again */
    :: applied == 0 && f >= seen -> seen = f; applied++; told = true
    :: applied == 0 && f < seen -> skip      /* a higher fence has been seen */
#else
    :: applied++; told = true
#endif
    :: skip                                  /* the message or the job is lost */
    fi;
    f = 0
  };
  goto end
}

active proctype Node() {
  byte out = 0;      /* in memory: the fence of the attempt that is out; 0: none */
  byte next;
recover:
  /* after a start: a running job is adopted, not sent */
  out = 0;
  if
  :: state == running -> out = intent
  :: else -> skip
  fi;
end:
  do
  :: state == queued && out == 0 && intent < 3 ->
       next = intent + 1;
#ifdef NO_INTENT
       flying[next] = true;
       if
       :: crashes < 2 -> crashes++; goto recover
       :: skip
       fi;
       d_step { intent = next; state = running };
#else
       d_step { intent = next; state = running };   /* one durable write */
       if
       :: crashes < 2 -> crashes++; goto recover     /* between intent and first byte */
       :: skip
       fi;
       flying[next] = true;
#endif
       out = next
  :: state != served && told ->                      /* the worker's own word */
       atomic { told = false; state = served; out = 0 }
  :: out != 0 && state == running && !told ->        /* the lease ran out */
#ifdef NO_DOUBT
       atomic { state = queued; out = 0 }
#else
       atomic { state = doubt; out = 0 }
#endif
#if FENCES
  :: state == doubt && intent < 3 -> state = queued  /* given out again under a higher fence */
#else
#ifdef NO_FENCE
  :: state == doubt && intent < 3 -> state = queued
#endif
#endif
  :: crashes < 2 -> crashes++; goto recover
  :: state == served -> break
  od
}

active proctype Monitor() {
end:
  do
  :: atomic { applied > 1 -> assert(false) }
  od
}

/* The node may always go on to an end, or the job is in doubt and shown: no state is lost. */
ltl ends { [] (state == queued || state == running || state == doubt || state == served) }
