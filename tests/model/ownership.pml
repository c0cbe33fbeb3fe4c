/*
 * Model of the ownership of workers: two schedulers, three workers, one task.
 *
 * Claim 1: the task is never alive at two workers.
 * Claim 2 (CALM): once losses stop and one scheduler is left with a majority within
 * reach, the task runs after a bounded time.
 *
 * Messages may be lost, and may arrive later than any lease, which also stands for a
 * scheduler that is paused between its check and its send. Schedulers may be killed
 * and replaced. Time is unbounded: leases are what is left of them, stamps are their
 * age. Clocks run alike, so margins for drift are zero here.
 *
 * What is merged to keep the model small, each on the safe side: a claim is sent,
 * granted and answered in one instant, as a later answer only shortens the claim by
 * the scheduler's clock; one late message a scheduler is kept, the others count as lost.
 *
 * Each rule can be taken out with -D to see what breaks without it: see check.sh.
 */

#ifndef HOLDER_TERM
#define HOLDER_TERM 2
#endif
#ifndef TASK_TERM
#define TASK_TERM 2
#endif
#ifndef START_LIFE
#define START_LIFE 1
#endif
#ifndef DOUBT
#define DOUBT (HOLDER_TERM + TASK_TERM)
#endif
#ifndef CALM_BOUND
#define CALM_BOUND (2 * (HOLDER_TERM + TASK_TERM) + 2)
#endif

#define WORKERS 3
#define PAIRS 6
#define PAIR(s, w) ((s) * WORKERS + (w))

/* Beyond this age a stamp gives no lease at all. */
#define OLDEST (HOLDER_TERM + TASK_TERM)

/* Messages that are still under way. */
#define NONE 0
#define RENEW 1
#define START 2

/* Where a scheduler takes the task to be. */
#define DOUBTFUL 0
#define WAITING 1
#define AT 2 /* AT + worker */

/* Workers: what is left of their leases. */
byte holderLeft[WORKERS];
byte taskLeft[WORKERS]; /* 0: it doesn't run here */

/* A scheduler's view of a worker. */
bool claimed[PAIRS];
bool current[PAIRS]; /* its token is the worker's latest */
byte age[PAIRS]; /* of the latest stamp */
byte heldLeft[PAIRS];
byte deadLeft[PAIRS]; /* until nothing started through this pair can live */
bool reached[PAIRS]; /* its list was read for this take-over */
bool listed[PAIRS]; /* the list showed the task */

/* The late message of a scheduler, and the worker it goes to. */
byte late[2];
byte lateTo[2];
bool lateCurrent[2];
byte lateAge[2];

bool placing[2];
byte doubtLeft[2];
byte place[2];

bool accepted; /* scratch, reset in the same step */

bool calm;
byte calmTicks;

#define HOLDS(p) (claimed[p] && heldLeft[p] > 0)
#define HELD_BY(s) (HOLDS(PAIR(s, 0)) + HOLDS(PAIR(s, 1)) + HOLDS(PAIR(s, 2)))
#define ALIVE_SOMEWHERE (taskLeft[0] + taskLeft[1] + taskLeft[2] > 0)

#ifdef NO_MAJORITY
#define ENOUGH(s) (HELD_BY(s) >= 1)
#else
#define ENOUGH(s) (HELD_BY(s) >= 2)
#endif

#ifdef NO_TOKEN_CHECK
#define FENCED(isCurrent) true
#else
#define FENCED(isCurrent) (isCurrent)
#endif

#ifdef NO_START_LIFE
#define FRESH(anAge) true
#else
#define FRESH(anAge) ((anAge) <= START_LIFE)
#endif

#ifdef RENEW_FROM_RECEIPT
#define LEFT(term, anAge) (term)
#else
#define LEFT(term, anAge) ((anAge) >= (term) -> 0 : (term) - (anAge))
#endif

#ifdef LEASE_FROM_RECEIPT
#define START_LEFT(anAge) TASK_TERM
#else
#define START_LEFT(anAge) LEFT(TASK_TERM, anAge)
#endif

/* A start without an answer counts as taken until it is barred or its end is reported. */
#ifdef NO_BAR
#define RESOLVED(s, w) true
#else
#define RESOLVED(s, w) (late[s] != START || lateTo[s] != w)
#endif

#ifdef NO_DEAD_WAIT
#define DEAD(p) true
#else
#define DEAD(p) (deadLeft[p] == 0)
#endif

/* A list read under a claim that has lapsed since says nothing any more. */
#ifdef KEEP_OLD_LISTS
#define COUNTS(p) (claimed[p])
#else
#define COUNTS(p) HOLDS(p)
#endif

#define LESS(value) ((value) > 0 -> (value) - 1 : 0)
#define OLDER(value) ((value) < OLDEST -> (value) + 1 : OLDEST)

#ifdef CALM
#define WHILE_FAULTY !calm &&
#else
#define WHILE_FAULTY
#endif

inline assertAlone()
{
    assert(!(taskLeft[0] > 0 && taskLeft[1] > 0));
    assert(!(taskLeft[0] > 0 && taskLeft[2] > 0));
    assert(!(taskLeft[1] > 0 && taskLeft[2] > 0))
}

/* The worker's side of a renewal or a start. */
inline serve(w, starts, isCurrent, anAge)
{
    accepted = holderLeft[w] > 0 && FENCED(isCurrent);
    if
    :: accepted ->
        if
        :: holderLeft[w] < LEFT(HOLDER_TERM, anAge) -> holderLeft[w] = LEFT(HOLDER_TERM, anAge)
        :: else
        fi;
        if
        :: taskLeft[w] > 0 && taskLeft[w] < LEFT(TASK_TERM, anAge) -> taskLeft[w] = LEFT(TASK_TERM, anAge)
        :: starts && taskLeft[w] == 0 && FRESH(anAge) ->
            taskLeft[w] = START_LEFT(anAge);
            assertAlone()
        :: else
        fi
    :: else
    fi
}

inline forgetClaim(p)
{
    claimed[p] = false;
    heldLeft[p] = 0;
    age[p] = 0;
    current[p] = false;
    listed[p] = false
}

/* After a lost majority, and for a process that has been replaced. */
inline startOver(s)
{
    forgetClaim(PAIR(s, 0));
    forgetClaim(PAIR(s, 1));
    forgetClaim(PAIR(s, 2));
    reached[PAIR(s, 0)] = false;
    reached[PAIR(s, 1)] = false;
    reached[PAIR(s, 2)] = false;
    placing[s] = false;
    doubtLeft[s] = 0;
    place[s] = DOUBTFUL
}

inline loseMajority(s)
{
#ifdef KEEP_TOKENS
    placing[s] = false;
    doubtLeft[s] = 0;
    place[s] = DOUBTFUL
#else
    startOver(s)
#endif
}

inline applyListing(s, w)
{
    reached[PAIR(s, w)] = true;
    if
    :: listed[PAIR(s, w)] -> place[s] = AT + w
    :: !listed[PAIR(s, w)] && place[s] == AT + w -> place[s] = WAITING
    :: else
    fi
}

inline claim(s, w)
{
    holderLeft[w] = HOLDER_TERM;
    current[PAIR(0, w)] = false;
    current[PAIR(1, w)] = false;
    if
    :: lateTo[0] == w -> lateCurrent[0] = false
    :: else
    fi;
    if
    :: lateTo[1] == w -> lateCurrent[1] = false
    :: else
    fi;
    claimed[PAIR(s, w)] = true;
    current[PAIR(s, w)] = true;
    age[PAIR(s, w)] = 0;
    heldLeft[PAIR(s, w)] = HOLDER_TERM;
    deadLeft[PAIR(s, w)] = TASK_TERM;
    listed[PAIR(s, w)] = taskLeft[w] > 0;
    if
    :: placing[s] -> applyListing(s, w)
    :: else
    fi
}

inline gainMajority(s)
{
    placing[s] = true;
    doubtLeft[s] = DOUBT;
    place[s] = DOUBTFUL;
    if
    :: COUNTS(PAIR(s, 0)) -> applyListing(s, 0)
    :: else
    fi;
    if
    :: COUNTS(PAIR(s, 1)) -> applyListing(s, 1)
    :: else
    fi;
    if
    :: COUNTS(PAIR(s, 2)) -> applyListing(s, 2)
    :: else
    fi
}

/* A renewal or start that is answered at once. */
inline prompt(s, w, starts)
{
    serve(w, starts, current[PAIR(s, w)], age[PAIR(s, w)]);
    if
    :: accepted ->
        if
        :: heldLeft[PAIR(s, w)] < LEFT(HOLDER_TERM, age[PAIR(s, w)]) ->
            heldLeft[PAIR(s, w)] = LEFT(HOLDER_TERM, age[PAIR(s, w)])
        :: else
        fi;
        age[PAIR(s, w)] = 0;
        deadLeft[PAIR(s, w)] = TASK_TERM;
        if
        :: place[s] == AT + w && taskLeft[w] == 0 && RESOLVED(s, w) -> place[s] = WAITING
        :: else
        fi
    :: else -> forgetClaim(PAIR(s, w))
    fi;
    accepted = false
}

inline dropLate(s)
{
    late[s] = NONE;
    lateTo[s] = 0;
    lateCurrent[s] = false;
    lateAge[s] = 0
}

/* The attempt is stopped if it runs, and never starts if it hasn't arrived yet. */
inline bar(s, w)
{
    prompt(s, w, false);
    if
    :: claimed[PAIR(s, w)] ->
        taskLeft[w] = 0;
        if
        :: late[s] == START && lateTo[s] == w -> dropLate(s)
        :: else
        fi;
        place[s] = WAITING
    :: else
    fi
}

/* The message goes out and is given up; it may arrive at any later time. */
inline sendLate(s, w, what)
{
    late[s] = what;
    lateTo[s] = w;
    lateCurrent[s] = current[PAIR(s, w)];
    lateAge[s] = age[PAIR(s, w)]
}

inline arriveLate(s, w)
{
    serve(w, late[s] == START, lateCurrent[s], lateAge[s]);
    accepted = false;
    dropLate(s)
}

inline markStarted(s, w)
{
#ifdef TRUST_LOST_START
    skip
#else
    place[s] = AT + w
#endif
}

#define MAY_ORDER(s, w) (placing[s] && ENOUGH(s) && HOLDS(PAIR(s, w)))
/* A step begins by looking at the clock: a majority that has lapsed is lost first. */
#ifdef NO_CHECK_FIRST
#define CHECKED(s) true
#else
#define CHECKED(s) (!placing[s] || ENOUGH(s))
#endif

#define MAY_CLAIM(s, w) (CHECKED(s) && !claimed[PAIR(s, w)] && holderLeft[w] == 0)
#define IS_SILENT(s, w) (placing[s] && ENOUGH(s) && place[s] == AT + w && !claimed[PAIR(s, w)] && DEAD(PAIR(s, w)))
#define MAY_RESOLVE(s) (CHECKED(s) && placing[s] && place[s] == DOUBTFUL && (doubtLeft[s] == 0 || (reached[PAIR(s, 0)] && reached[PAIR(s, 1)] && reached[PAIR(s, 2)])))

/* One line an event of a scheduler and a worker. */
#define PAIR_STEPS(s, w) \
    :: d_step { WHILE_FAULTY MAY_CLAIM(s, w) -> claim(s, w); tidy() } \
    :: d_step { WHILE_FAULTY MAY_ORDER(s, w) -> prompt(s, w, false); tidy() } \
    :: d_step { WHILE_FAULTY MAY_ORDER(s, w) && late[s] == NONE -> sendLate(s, w, RENEW) } \
    :: d_step { WHILE_FAULTY MAY_ORDER(s, w) && place[s] == WAITING -> place[s] = AT + w; prompt(s, w, true); tidy() } \
    :: d_step { WHILE_FAULTY MAY_ORDER(s, w) && place[s] == WAITING && late[s] == NONE -> sendLate(s, w, START); markStarted(s, w) } \
    :: d_step { WHILE_FAULTY MAY_ORDER(s, w) && place[s] == AT + w -> bar(s, w); tidy() } \
    :: d_step { WHILE_FAULTY late[s] != NONE && lateTo[s] == w -> arriveLate(s, w) } \
    :: d_step { WHILE_FAULTY claimed[PAIR(s, w)] && heldLeft[PAIR(s, w)] == 0 -> forgetClaim(PAIR(s, w)); tidy() } \
    :: d_step { WHILE_FAULTY IS_SILENT(s, w) -> place[s] = WAITING; tidy() }

/* The last one: killed and replaced. */
#define SCHEDULER_STEPS(s) \
    :: d_step { WHILE_FAULTY !placing[s] && ENOUGH(s) -> gainMajority(s); tidy() } \
    :: d_step { WHILE_FAULTY placing[s] && !ENOUGH(s) -> loseMajority(s); tidy() } \
    :: d_step { WHILE_FAULTY MAY_RESOLVE(s) -> place[s] = WAITING; tidy() } \
    :: d_step { WHILE_FAULTY placing[s] -> startOver(s); tidy() }

inline tickPair(p)
{
    heldLeft[p] = LESS(heldLeft[p]);
    deadLeft[p] = LESS(deadLeft[p]);
    age[p] = (claimed[p] -> OLDER(age[p]) : 0)
}

/* What can't matter any more is set to one value, so that equal situations are one state. */
inline tidyPair(s, w)
{
    if
    :: !claimed[PAIR(s, w)] && place[s] != AT + w -> deadLeft[PAIR(s, w)] = 0
    :: else
    fi;
    if
    :: placing[s] -> listed[PAIR(s, w)] = false
    :: else
    fi;
    if
    :: place[s] != DOUBTFUL -> reached[PAIR(s, w)] = false
    :: else
    fi
}

inline tidy()
{
    if
    :: late[0] != NONE && !FENCED(lateCurrent[0]) -> dropLate(0)
    :: else
    fi;
    if
    :: late[1] != NONE && !FENCED(lateCurrent[1]) -> dropLate(1)
    :: else
    fi;
    if
    :: place[0] != DOUBTFUL -> doubtLeft[0] = 0
    :: else
    fi;
    if
    :: place[1] != DOUBTFUL -> doubtLeft[1] = 0
    :: else
    fi;
    tidyPair(0, 0);
    tidyPair(0, 1);
    tidyPair(0, 2);
    tidyPair(1, 0);
    tidyPair(1, 1);
    tidyPair(1, 2)
}

inline tick()
{
    holderLeft[0] = LESS(holderLeft[0]);
    holderLeft[1] = LESS(holderLeft[1]);
    holderLeft[2] = LESS(holderLeft[2]);
    taskLeft[0] = LESS(taskLeft[0]);
    taskLeft[1] = LESS(taskLeft[1]);
    taskLeft[2] = LESS(taskLeft[2]);
    doubtLeft[0] = LESS(doubtLeft[0]);
    doubtLeft[1] = LESS(doubtLeft[1]);
    lateAge[0] = (late[0] != NONE -> OLDER(lateAge[0]) : 0);
    lateAge[1] = (late[1] != NONE -> OLDER(lateAge[1]) : 0);
    tickPair(0);
    tickPair(1);
    tickPair(2);
    tickPair(3);
    tickPair(4);
    tickPair(5)
}

#ifdef CALM

/* Worker 2 stays out of reach; the majority of 0 and 1 answers at once. */
inline calmPair(w)
{
    if
    :: claimed[w] && heldLeft[w] == 0 -> forgetClaim(w)
#ifndef NO_CANDIDACY_LIMIT
    /* A candidate gives back what it has held too long: its stamps are too old to renew with. */
    :: claimed[w] && heldLeft[w] > 0 && !placing[0] && age[w] >= HOLDER_TERM / 2 ->
        holderLeft[w] = 0;
        forgetClaim(w)
#endif
    :: else
    fi;
    if
    :: MAY_CLAIM(0, w) -> claim(0, w)
    :: else
    fi
}

inline calmOrder(w)
{
    if
    :: MAY_ORDER(0, w) && place[0] == WAITING ->
        place[0] = AT + w;
        prompt(0, w, true)
    /* A start without an answer is sent again, under the same attempt. */
    :: MAY_ORDER(0, w) && place[0] == AT + w && !RESOLVED(0, w) ->
        dropLate(0);
        prompt(0, w, true)
    :: MAY_ORDER(0, w) && place[0] != WAITING && (place[0] != AT + w || RESOLVED(0, w)) -> prompt(0, w, false)
    :: else
    fi
}

inline calmTick()
{
    if
    :: placing[0] && !ENOUGH(0) -> loseMajority(0)
    :: else
    fi;
    calmPair(0);
    calmPair(1);
    if
    :: claimed[2] && heldLeft[2] == 0 -> forgetClaim(2)
    :: else
    fi;
    if
    :: !placing[0] && ENOUGH(0) -> gainMajority(0)
    :: else
    fi;
    if
    :: IS_SILENT(0, 2) -> place[0] = WAITING
    :: MAY_RESOLVE(0) -> place[0] = WAITING
    :: else
    fi;
    calmOrder(0);
    calmOrder(1);
    assert(calmTicks < CALM_BOUND || ALIVE_SOMEWHERE);
    tick();
    if
    :: calmTicks < CALM_BOUND -> calmTicks = calmTicks + 1
    :: else
    fi
}

#endif

init
{
    do
#ifdef CALM
    :: d_step { calm -> calmTick() }
    :: d_step { !calm -> calm = true; startOver(1); dropLate(1); tidy() }
#endif
    :: d_step { WHILE_FAULTY true -> tick() }
    SCHEDULER_STEPS(0)
    SCHEDULER_STEPS(1)
    PAIR_STEPS(0, 0)
    PAIR_STEPS(0, 1)
    PAIR_STEPS(0, 2)
    PAIR_STEPS(1, 0)
    PAIR_STEPS(1, 1)
    PAIR_STEPS(1, 2)
    od
}
