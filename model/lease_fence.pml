/* Orders under a lease: a holder that was paused past its lease, or a companion
 * that was restarted, never lets an old order follow a newer one.
 *
 * The lease is an object of the platform, changed by conditional update; its
 * version is the fencing number. An order names the number under which it was
 * given; it may be delayed and delivered again at any later time. The endpoint
 * checks nothing: its companion is the gate, and loses its memory in a restart.
 *
 * Each guard can be left out with -DMUTANT_<name>; the error must be found.
 */
#define HOLDERS 2
#define NUMBERS 4 /* fencing numbers 1 .. 3; 0 means none */

byte lease_number = 0; /* version of the lease object */
bool issued[NUMBERS];  /* an order with this number is under way */
bool taken[NUMBERS];   /* a holder believes in this number */
byte passed = 0;       /* highest number that the endpoint was given */

byte seen = 0;         /* the companion's memory */
bool is_ready = false; /* it has read the present number since its start */
byte restarts = 0;

proctype holder()
{
    byte number = 0; /* of the lease that it believes to hold */
    byte read = 0;
end:
    do
    /* The lease is free or lapsed; how it lapsed does not matter here. */
    :: atomic { lease_number + 1 < NUMBERS -> read = lease_number }
       atomic {
           if
#ifndef MUTANT_update_unconditional
           :: lease_number == read ->
#else
           :: true ->
#endif
                  lease_number = read + 1;
                  number = lease_number;
                  assert(!taken[number]);
                  taken[number] = true
           :: else -> skip
           fi;
           read = 0
       }
    /* It may have been paused since, and the lease may have a new holder. */
    :: atomic { number != 0 && !issued[number] -> issued[number] = true }
    od
}

inline receive(order)
{
    atomic {
        issued[order] && is_ready ->
        if
#ifndef MUTANT_number_unchecked
        :: order < seen -> skip /* refused by number */
#endif
        :: else ->
               assert(order >= passed);
               passed = order;
               seen = order
        fi
    }
}

active proctype companion()
{
end:
    do
    /* Before its first order it reads the present number from the platform. */
    :: atomic {
           !is_ready ->
#ifndef MUTANT_number_unread_after_restart
           seen = lease_number;
#endif
           is_ready = true
       }
    :: receive(1)
    :: receive(2)
    :: receive(3)
    :: atomic {
           restarts < 2 ->
           restarts++;
#ifndef MUTANT_first_order_before_ready
           is_ready = false;
#endif
           seen = 0
       }
    od
}

init
{
    atomic {
        run holder();
        run holder()
    }
}
