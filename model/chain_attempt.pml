/* The acceptance rule of a chain: every layer runs exactly once for each
 * token, in order, and no answer mixes two attempts.
 *
 * One request, three stages, at most two attempts and three tokens. A frame
 * that was sent may be received at any later time, any number of times or
 * never: this is loss, delay, reordering and duplication. A stage may restart,
 * with empty memory, under a new incarnation and with other layers.
 *
 * `spoiled` marks work that was computed with a wrong KV cache or by wrong
 * layers. Nothing spoiled may reach the caller. Each guard can be left out with
 * -DMUTANT_<name>; the error must be found.
 */
#define STAGES 3
#define TOKENS 3
#define RESTARTS 2

#define FRAME(a, p, s) (((a) * TOKENS + (p)) * STAGES + (s))
#define TOKEN(a, p) ((a) * TOKENS + (p))
#define PIN(a, s) ((a) * STAGES + (s))

/* Frames and answer tokens that were sent. */
bool sent[18];
bool is_frame_spoiled[18];
bool is_token_sent[6];
bool is_token_spoiled[6];

/* What each attempt was set up with. */
byte first_position[2];
byte pinned[6]; /* incarnation of each stage */

/* The stages. attempt 2 means none. */
byte incarnation[STAGES];
byte attempt[STAGES];
byte next_position[STAGES];
bool has_wrong_layers[STAGES];
byte restarts = 0;

/* The entry. */
byte current = 0; /* newest attempt */
byte have = 0;    /* tokens that the caller has */
bool is_started = false;

/* Only the first frame of an attempt carries the route and may start it. */
#define IS_FIRST(a, p) ((p) == first_position[a])

#ifndef MUTANT_route_unchecked
#define IS_ROUTE_VALID(a, s)                                                   \
    (pinned[PIN(a, s)] == incarnation[s] && !has_wrong_layers[s])
#else
#define IS_ROUTE_VALID(a, s) true
#endif

#ifndef MUTANT_unknown_attempt_accepted
#define MAY_START(a, p, s) (IS_FIRST(a, p) && IS_ROUTE_VALID(a, s))
#else
#define MAY_START(a, p, s) (!IS_FIRST(a, p) || IS_ROUTE_VALID(a, s))
#endif

/* Attempt 2 means that the stage knows none. */
#ifndef MUTANT_older_attempt_accepted
#define IS_NEWER(a, s) (attempt[s] == 2 || (a) > attempt[s])
#else
#define IS_NEWER(a, s) (attempt[s] == 2 || (a) != attempt[s])
#endif

#ifndef MUTANT_position_unchecked
#define IS_NEXT(p, s) ((p) == next_position[s])
#else
#define IS_NEXT(p, s) true
#endif

/* The cache holds exactly the positions before p of this attempt. */
#define IS_CACHE_RIGHT(a, p, s)                                                \
    ((p) == first_position[a] || (attempt[s] == (a) && next_position[s] == (p)))

inline run_step(a, p, s)
{
    /* A late frame does not displace the newer attempt's memory. */
    assert(attempt[s] == 2 || a >= attempt[s]);
    spoiled = is_frame_spoiled[FRAME(a, p, s)] || has_wrong_layers[s] ||
              !IS_CACHE_RIGHT(a, p, s) ||
              (attempt[s] == a && next_position[s] != p);
    attempt[s] = a;
    next_position[s] = p + 1;
    if
    :: s + 1 < STAGES ->
           sent[FRAME(a, p, s + 1)] = true;
           is_frame_spoiled[FRAME(a, p, s + 1)] =
               is_frame_spoiled[FRAME(a, p, s + 1)] || spoiled
    :: else ->
           is_token_sent[TOKEN(a, p)] = true;
           is_token_spoiled[TOKEN(a, p)] =
               is_token_spoiled[TOKEN(a, p)] || spoiled;
           /* The token enters the first stage as the next position. */
           if
           :: p + 1 < TOKENS ->
                  sent[FRAME(a, p + 1, 0)] = true;
                  is_frame_spoiled[FRAME(a, p + 1, 0)] =
                      is_frame_spoiled[FRAME(a, p + 1, 0)] || spoiled
           :: else
           fi
    fi;
    spoiled = false
}

/* A companion receives a frame, and runs it or refuses it. */
proctype stage(byte s)
{
    byte a = 0;
    byte p = 0;
    bool spoiled = false;
end:
    do
    :: atomic {
           select (a : 0 .. 1);
           select (p : 0 .. TOKENS - 1);
           if
           :: !sent[FRAME(a, p, s)] -> skip
           :: else ->
                  if
                  :: attempt[s] == a && IS_NEXT(p, s) -> run_step(a, p, s)
                  :: IS_NEWER(a, s) && MAY_START(a, p, s) ->
                         run_step(a, p, s)
                  :: else -> skip
                  fi
           fi;
           a = 0;
           p = 0
       }
    :: atomic {
           restarts < RESTARTS ->
           restarts++;
           incarnation[s]++;
           attempt[s] = 2;
           next_position[s] = 0;
           if
           :: has_wrong_layers[s] = true
           :: has_wrong_layers[s] = false
           fi
       }
    od
}

/* Starts the newest attempt from what the caller has. */
inline start_attempt()
{
    first_position[current] = have;
    pinned[PIN(current, 0)] = incarnation[0];
    pinned[PIN(current, 1)] = incarnation[1];
    pinned[PIN(current, 2)] = incarnation[2];
    sent[FRAME(current, have, 0)] = true
}

#ifndef MUTANT_entry_takes_any_attempt
#define IS_CURRENT(a) ((a) == current)
#else
#define IS_CURRENT(a) true
#endif

#ifndef MUTANT_entry_takes_any_index
#define IS_WANTED(p) ((p) == have)
#else
#define IS_WANTED(p) true
#endif

inline receive_token(a, p)
{
    atomic {
        is_token_sent[TOKEN(a, p)] && IS_CURRENT(a) && IS_WANTED(p) ->
        assert(p == have);
        assert(!is_token_spoiled[TOKEN(a, p)]);
        /* Tokens after the newest attempt's start are all of that attempt. */
        assert(a == current);
        have = p + 1
    }
}

proctype entry()
{
    atomic { start_attempt() }
end:
    do
    :: receive_token(0, 0)
    :: receive_token(0, 1)
    :: receive_token(0, 2)
    :: receive_token(1, 0)
    :: receive_token(1, 1)
    :: receive_token(1, 2)
    /* A stage is thought dead, rightly or not. */
    :: atomic {
           current == 0 && have < TOKENS && !has_wrong_layers[0] &&
           !has_wrong_layers[1] && !has_wrong_layers[2] ->
           current = 1;
           start_attempt()
       }
    od
}

init
{
    atomic {
        attempt[0] = 2;
        attempt[1] = 2;
        attempt[2] = 2;
        run entry();
        run stage(0);
        run stage(1);
        run stage(2)
    }
}
