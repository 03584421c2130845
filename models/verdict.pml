/* Verdicts about one zone, by hand and by machine: three nodes, words that are lost, doubled, late and
   out of order, one restart that forgets all. A node raises under one number more than the highest that
   it has heard of; who hears a later one takes it: by the number, and of one number the stricter. An
   operator's order has numbers of its own and stands before the machine's verdicts.
   Checked: what a node holds never goes back but by a restart; and once nothing is raised any more and
   all words were heard once more by all, all hold the same and use the zone alike.
   Each guard can be left out with a macro, which must give a counterexample:
     NO_NUMBER    the last word heard is taken, whatever its number
     NO_STRICTER  of one number the one held first stays
   tools/model runs all of them. */

#define NODES 3
#define RAISES 3
#define ORDERS 2

byte number[NODES];      /* of the verdict held */
byte strict[NODES];      /* 1: left */
byte heard[NODES];       /* the highest number heard of, believed or not */
byte order[NODES];       /* number of the order held; 0: none */
byte ordered[NODES];     /* 1: leave */
byte raised = 0, orders = 0, restarts = 0;
/* All words ever said stay on their way: each may come at any time, any number of times, or never. */
byte said_number[RAISES];
byte said_strict[RAISES];
byte said_order[ORDERS];
byte said_ordered[ORDERS];

inline Hear(n, num, str) {
  if :: num > heard[n] -> heard[n] = num :: else fi;
#ifdef NO_NUMBER
  number[n] = num; strict[n] = str
#else
  if
  :: num > number[n] -> number[n] = num; strict[n] = str
#ifndef NO_STRICTER
  :: num == number[n] && str > strict[n] -> strict[n] = str
#endif
  :: else
  fi
#endif
}
inline HearOrder(n, num, str) {
  if
  :: num > order[n] || (num == order[n] && str > ordered[n]) -> order[n] = num; ordered[n] = str
  :: else
  fi
}

byte was;
proctype Node(byte n) {
  byte i;
  byte s;
  do
  :: atomic {
       raised < RAISES ->
       if :: s = 0 :: s = 1 fi;
       said_number[raised] = heard[n] + 1;
       said_strict[raised] = s;
       was = number[n];
       Hear(n, said_number[raised], s);
       raised = raised + 1;
       assert(number[n] > was || strict[n] >= s);
       s = 0
     }
  :: atomic {
       orders < ORDERS ->
       if :: s = 0 :: s = 1 fi;
       said_order[orders] = order[n] + 1;
       said_ordered[orders] = s;
       HearOrder(n, said_order[orders], s);
       orders = orders + 1;
       s = 0
     }
  :: atomic {
       raised > 0 ->
       i = 0;
       do :: i + 1 < raised -> i = i + 1 :: break od;
       was = number[n];
       Hear(n, said_number[i], said_strict[i]);
       assert(number[n] >= was);
       i = 0
     }
  :: atomic {
       orders > 0 ->
       i = 0;
       do :: i + 1 < orders -> i = i + 1 :: break od;
       HearOrder(n, said_order[i], said_ordered[i]);
       i = 0
     }
  :: atomic {
       restarts < 1 ->
       number[n] = 0; strict[n] = 0; heard[n] = 0; order[n] = 0; ordered[n] = 0;
       restarts = restarts + 1
     }
  :: atomic { raised == RAISES && orders == ORDERS -> break }
  od
}

inline HearAll(n) {
  i = 0;
  do
  :: i < RAISES -> Hear(n, said_number[i], said_strict[i]); i = i + 1
  :: else -> break
  od;
  i = 0;
  do
  :: i < ORDERS -> HearOrder(n, said_order[i], said_ordered[i]); i = i + 1
  :: else -> break
  od
}

#define USES(n) (order[n] > 0 -> ordered[n] : strict[n])

init {
  byte i;
  atomic { run Node(0); run Node(1); run Node(2) };
  (_nr_pr == 1);
  atomic {
    HearAll(0); HearAll(1); HearAll(2);
    assert(number[0] == number[1] && number[1] == number[2]);
    assert(strict[0] == strict[1] && strict[1] == strict[2]);
    assert(USES(0) == USES(1) && USES(1) == USES(2));
    /* An order that was said stands, whatever was raised. */
    assert(order[0] > 0 && order[1] > 0 && order[2] > 0)
  }
}
