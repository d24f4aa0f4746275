/* The claim log: a key of a non-idempotent call runs at most once.
 *
 * Two processes may be the home of one shard with two keys. A process that is
 * not scheduled is paused; it may crash and start again under its next
 * incarnation. Each incarnation has its own log. A create of the store is
 * delayed at will, may be delivered again, also after the crash of its sender,
 * and its answer may be lost. The table is changed by conditional update, whose
 * answer may be lost as well.
 *
 * Each guard can be left out with -DMUTANT_<name>; the error must be found.
 */
#ifndef INCARNATIONS
#define INCARNATIONS 3 /* over all processes; 0 means nobody */
#endif
#ifndef KEYS
#define KEYS 2
#endif
#ifndef COPIES
#define COPIES 2 /* sends of each key's request */
#endif
#define SEGMENTS 2 /* names of one log before the last, which only seals */

/* Content of a segment: a set of keys, or the seal. */
#define FREE 0
#define SEAL 4
#define HOLDS(content, k) ((content) != SEAL && ((content) & (1 << (k))))

/* How far a key has come in one process. */
#define NONE 0
#define QUEUED 1
#define WRITING 2 /* the create is under way, or its answer was lost */
#define CLAIMED 3 /* durable, not run */
#define RAN 4
#define UNKNOWN 5 /* may have run: never runs here */

/* The store. Names are log * 3 + number. */
#define NAME(log, number) ((log) * 3 + (number))
byte stored[12];
byte table_home = 0; /* incarnation that is the home */
byte table_version = 0;

/* Creates on their way, by name, and what they carry. */
byte under_way[12];

byte incarnations = 2;
byte runs[KEYS];
bool told_not_run[KEYS * COPIES]; /* key * COPIES + copy */
bool has_run[KEYS * COPIES];
byte copies[KEYS];

inline deliver(name)
{
    atomic {
        under_way[name] != FREE ->
        if
        :: stored[name] == FREE -> stored[name] = under_way[name]
        :: else -> skip
        fi;
        if
        :: under_way[name] = FREE
        :: skip /* it will be delivered again */
        fi
    }
}

active proctype network()
{
end:
    do
    :: deliver(3)
    :: deliver(4)
    :: deliver(6)
    :: deliver(7)
#if INCARNATIONS > 2
    :: deliver(9)
    :: deliver(10)
#endif
    od
}

/* Notes the keys that a log holds. */
inline note_keys(content)
{
    found = found | (content & 3)
}

/* Keys of every log but the own one. Those that are neither the present home's
 * nor its own were sealed by an earlier take-over, so that they are stable. */
inline note_earlier_logs()
{
#ifndef MUTANT_earlier_logs_unread
    at = 1;
    do
    :: at <= INCARNATIONS ->
           if
           :: at != self && at != old ->
                  if
                  :: stored[NAME(at, 0)] != SEAL -> note_keys(stored[NAME(at, 0)])
                  :: else
                  fi;
                  if
                  :: stored[NAME(at, 1)] != SEAL -> note_keys(stored[NAME(at, 1)])
                  :: else
                  fi
           :: else
           fi;
           at++
    :: else -> break
    od;
    at = 0
#else
    skip
#endif
}

inline become_home()
{
    if
    :: (found & 1) && key[0] == NONE -> key[0] = UNKNOWN
    :: else
    fi;
    if
    :: (found & 2) && key[1] == NONE -> key[1] = UNKNOWN
    :: else
    fi;
    is_home = true;
    old = 0; at = 0; version = 0; found = 0
}

inline tell_not_run(k)
{
    assert(!has_run[(k) * COPIES + copy[k]]);
    told_not_run[(k) * COPIES + copy[k]] = true
}

/* The copy that waits for a key is told that it did not run. */
inline refuse(k)
{
    if
    :: copy[k] != COPIES ->
           tell_not_run(k);
           copy[k] = COPIES
    :: else
    fi
}

/* A crash, or a fenced home that goes on under its next incarnation. */
inline restart()
{
    if
    :: incarnations < INCARNATIONS ->
           incarnations++;
           self = incarnations
    :: else -> goto stopped
    fi;
    number = 0; key[0] = NONE; key[1] = NONE;
    copy[0] = COPIES; copy[1] = COPIES;
    version = 0; old = 0; at = 0; found = 0; is_home = false
}

inline arrive(k)
{
    atomic {
        copies[k] < COPIES && copy[k] == COPIES ->
        copy[k] = copies[k];
        copies[k]++;
        if
        :: key[k] == NONE ->
               if
#ifndef MUTANT_not_home_serves
               :: !is_home -> refuse(k)
#else
               :: false -> skip
#endif
               :: else -> key[k] = QUEUED
               fi
#ifndef MUTANT_done_runs_again
        :: key[k] == RAN -> copy[k] = COPIES /* replay */
#else
        :: key[k] == RAN -> key[k] = CLAIMED
#endif
        :: key[k] == UNKNOWN -> copy[k] = COPIES /* told unknown */
        :: else -> skip                          /* waits for the outcome */
        fi
    }
}

/* The store does not answer in time, or the deadline is over: the copy is
 * refused. Nothing runs for it, whatever becomes of the create. */
inline give_up(k)
{
    atomic {
        copy[k] != COPIES && (key[k] == QUEUED || key[k] == WRITING) ->
#ifndef MUTANT_refused_copy_kept
        refuse(k);
#else
        tell_not_run(k);
#endif
        if
        :: key[k] == QUEUED && copy[k] == COPIES -> key[k] = NONE
        :: else
        fi
    }
}

inline run_key(k)
{
    atomic {
#ifndef MUTANT_run_before_durable
        key[k] == CLAIMED && copy[k] != COPIES ->
#else
        key[k] >= WRITING && key[k] <= CLAIMED && copy[k] != COPIES ->
#endif
        runs[k]++;
        assert(runs[k] == 1);
        assert(!told_not_run[(k) * COPIES + copy[k]]);
        has_run[(k) * COPIES + copy[k]] = true;
        copy[k] = COPIES;
        if
        :: key[k] = RAN
        /* The endpoint's answer was lost. */
#ifndef MUTANT_lost_answer_runs_again
        :: key[k] = UNKNOWN
#else
        :: key[k] = CLAIMED
#endif
        fi
    }
}

inline settle_written(k)
{
    if
    :: key[k] == WRITING -> key[k] = CLAIMED
    :: else
    fi
}

inline fence_key(k)
{
    if
    :: key[k] == QUEUED || key[k] == WRITING || key[k] == CLAIMED -> refuse(k)
    :: else
    fi
}

proctype process(byte self)
{
    byte number = 0; /* next free name of the own log */
    byte key[2];
    byte copy[2];    /* the copy that waits for the key, or COPIES */
    byte version = 0;
    byte old = 0;    /* the home that is being replaced */
    byte at = 0;
    byte found = 0;  /* keys found in earlier logs */
    bool is_home = false;

    atomic { copy[0] = COPIES; copy[1] = COPIES }
    do
    /* Take-over: seal the old log at its first free name, read it. A create
     * that wins the name is found by the next list; the step is one because
     * only the create of the seal decides where the log ends. */
    :: atomic {
           !is_home && table_home != self ->
           version = table_version;
           old = table_home;
           at = 0;
           do
           :: old == 0 -> break
           :: old != 0 && stored[NAME(old, at)] == SEAL -> break
           :: old != 0 && stored[NAME(old, at)] == FREE ->
#ifndef MUTANT_no_seal
                  stored[NAME(old, at)] = SEAL;
#endif
                  break
           :: else ->
#ifndef MUTANT_old_log_unread
                  note_keys(stored[NAME(old, at)]);
#endif
                  at++
           od;
           at = 0
       }
       /* Then the table is changed by conditional update. */
       atomic {
           note_earlier_logs();
           if
#ifndef MUTANT_table_unconditional
           :: table_version == version ->
#else
           :: true ->
#endif
                  table_home = self;
                  table_version++;
                  if
                  :: become_home()
                  :: old = 0; at = 0; version = 0; found = 0 /* answer lost */
                  fi
           :: else -> old = 0; at = 0; version = 0; found = 0
           fi
       }

    /* An update whose answer was lost is found in the table. */
    :: atomic {
           !is_home && table_home == self ->
           old = 0;
           note_earlier_logs();
           become_home()
       }

    :: arrive(0)
#if KEYS > 1
    :: arrive(1)
#endif
    :: give_up(0)
#if KEYS > 1
    :: give_up(1)
#endif
    :: run_key(0)
#if KEYS > 1
    :: run_key(1)
#endif

    /* Group commit: one create is in flight. */
    :: atomic {
           number < SEGMENTS && key[0] != WRITING && key[1] != WRITING &&
           (key[0] == QUEUED || key[1] == QUEUED) ->
           at = 0;
           if
           :: key[0] == QUEUED -> key[0] = WRITING; at = at | 1
           :: else
           fi;
           if
           :: key[1] == QUEUED -> key[1] = WRITING; at = at | 2
           :: else
           fi;
           under_way[NAME(self, number)] = at;
           at = 0
       }

    /* The answer, or the read-back after a lost answer or a conflict. */
    :: atomic {
           (key[0] == WRITING || key[1] == WRITING) &&
#ifndef MUTANT_lost_taken_as_created
           stored[NAME(self, number)] != FREE &&
#endif
#ifndef MUTANT_conflict_taken_as_created
           stored[NAME(self, number)] != SEAL &&
#endif
           true ->
           number++;
           settle_written(0);
           settle_written(1)
       }
    /* Fenced: nothing that waits runs. */
    :: atomic {
           (key[0] == WRITING || key[1] == WRITING) &&
           stored[NAME(self, number)] == SEAL ->
           fence_key(0);
           fence_key(1);
           restart()
       }

    /* Crash: the memory is lost, creates under way are not. */
    :: atomic { restart() }
    od;
stopped:
    skip
}

init
{
    atomic {
        run process(1);
        run process(2)
    }
}
