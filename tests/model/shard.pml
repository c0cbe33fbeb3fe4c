/*
 * Model of the ownership of a shard by a store row and a fencing token, with two owners, two
 * workers and one task.
 *
 * An owner takes the row over, confirms that it still holds it, lists the workers, starts the task
 * and stores its end. An order may be delivered at any later time, which also models an owner that
 * is frozen between deciding and sending. Workers measure leases on their own clocks; the model has
 * one clock for all, and a wait ends strictly after the lease, as the margins in the code ensure.
 * The task may run on one worker at a time, and not again once its end is stored and has been
 * acknowledged to the worker, which may then forget it.
 *
 * Each rule can be removed with one of: -DNO_FENCING -DLEASE_FROM_SENDING -DNO_TAKE_OVER_WAIT
 * -DNO_STOP_BEFORE_RESTART -DACKNOWLEDGE_BEFORE_STORED -DNO_CONDITION
 */
#ifndef LEASE
#define LEASE 2
#endif
#ifndef MAX_TIME
#define MAX_TIME 8 /* the clock stops at this time */
#endif
#define NO_WORKER 2

byte now = 0;
byte rowVersion = 0;    /* version of the owner's row */
bool stored = false;    /* the store has the task's end */

/* owners */
byte token[2];          /* 0 before the owner has taken the row over */
byte confirmedAt[2];
byte inDoubtUntil[2];
bool endIsStored[2];    /* the owner has read the end from the store, or stored it */
bool endListed[2];      /* a worker has listed the end to the owner */
bool listed0[2];        /* worker 0 has sent a list under this token */
bool listed1[2];
byte placedOn[2];       /* worker that has the task in the owner's view */
byte placedUntil[2];    /* deadline of the order to that worker */

/* workers */
byte highestToken[2];
byte lease[2];          /* end of the worker's lease */
bool runs[2];
bool stopped[2];        /* a start under stoppedToken or an earlier token is refused */
byte stoppedToken[2];
bool hasEnd[2];         /* the end is listed until it is acknowledged */

/* at most one start in transit to each worker */
bool inTransit[2];
byte orderToken[2];
byte orderDeadline[2];

bool acknowledged = false; /* the end was acknowledged to a worker, which may then forget it */

#define IS_OWNER(o) (token[o] != 0)
#define RECONCILED(o) ((listed0[o] && listed1[o]) || now > inDoubtUntil[o])

#ifdef ACKNOWLEDGE_BEFORE_STORED
#define MAY_ACKNOWLEDGE(o) endListed[o]
#else
#define MAY_ACKNOWLEDGE(o) endIsStored[o]
#endif

inline checkToken(w, t, ok) {
#ifdef NO_FENCING
    ok = true;
#else
    ok = (t >= highestToken[w]);
    if :: ok -> highestToken[w] = t :: else fi
#endif
}

inline deadlineOf(o, d) {
#ifdef LEASE_FROM_SENDING
    d = now + LEASE;
#else
    d = confirmedAt[o] + LEASE;
#endif
}

inline takeOver(o) {
    rowVersion++;
    token[o] = rowVersion;
    confirmedAt[o] = now;
#ifdef NO_TAKE_OVER_WAIT
    inDoubtUntil[o] = now;
#else
    inDoubtUntil[o] = now + LEASE;
#endif
    endIsStored[o] = stored;
    endListed[o] = false;
    listed0[o] = false;
    listed1[o] = false;
    placedOn[o] = NO_WORKER;
}

inline list(o, w, ok, d) {
    checkToken(w, token[o], ok);
    if
    :: ok ->
        deadlineOf(o, d);
        if :: d > lease[w] -> lease[w] = d :: else fi;
        if :: w == 0 -> listed0[o] = true :: else -> listed1[o] = true fi;
        if :: runs[w] -> placedOn[o] = w; placedUntil[o] = lease[w] :: else fi;
        if :: hasEnd[w] -> endListed[o] = true :: else fi
    :: else
    fi
}

proctype owner(byte o) {
    bool ok;
    byte d;
    byte w;
    do
    :: now < MAX_TIME && rowVersion < 3 -> atomic { takeOver(o) }
    :: IS_OWNER(o) -> atomic {
        if :: rowVersion == token[o] -> confirmedAt[o] = now :: else fi }
    :: IS_OWNER(o) -> atomic { list(o, 0, ok, d) }
    :: IS_OWNER(o) -> atomic { list(o, 1, ok, d) }
    :: atomic { IS_OWNER(o) && RECONCILED(o) && placedOn[o] == NO_WORKER && !endIsStored[o] && !endListed[o] ->
        if :: w = 0 :: w = 1 fi;
        if
        :: !inTransit[w] ->
            deadlineOf(o, d);
            inTransit[w] = true;
            orderToken[w] = token[o];
            orderDeadline[w] = d;
            placedOn[o] = w;
            placedUntil[o] = d
        :: else
        fi }
    /* no answer: before the task may run elsewhere, a stop must be confirmed or the deadline must have passed */
    :: atomic { IS_OWNER(o) && placedOn[o] != NO_WORKER ->
        w = placedOn[o];
#ifdef NO_STOP_BEFORE_RESTART
        placedOn[o] = NO_WORKER
#else
        if
        :: now > placedUntil[o] && now > lease[w] -> placedOn[o] = NO_WORKER
        :: true ->
            checkToken(w, token[o], ok);
            if
            :: ok && !hasEnd[w] ->
                stopped[w] = true;
                stoppedToken[w] = token[o];
                runs[w] = false;
                placedOn[o] = NO_WORKER
            :: else
            fi
        fi
#endif
       }
    /* the end is stored first, and only then may the worker forget it */
    :: atomic { IS_OWNER(o) && endListed[o] && !endIsStored[o] ->
#ifdef NO_CONDITION
        stored = true; endIsStored[o] = true
#else
        if :: rowVersion == token[o] -> stored = true; endIsStored[o] = true :: else fi
#endif
       }
    :: atomic { IS_OWNER(o) && MAY_ACKNOWLEDGE(o) ->
        w = (hasEnd[0] -> 0 : 1);
        checkToken(w, token[o], ok);
        if :: ok && hasEnd[w] -> hasEnd[w] = false; acknowledged = true :: else fi }
    :: now >= MAX_TIME -> break
    od
}

proctype worker(byte w) {
    bool ok;
    do
    :: atomic { inTransit[w] ->
        inTransit[w] = false;
        checkToken(w, orderToken[w], ok);
        if
        :: ok && orderDeadline[w] > now && !(stopped[w] && orderToken[w] <= stoppedToken[w]) && !hasEnd[w] ->
            if :: orderDeadline[w] > lease[w] -> lease[w] = orderDeadline[w] :: else fi;
            assert(!acknowledged);
            runs[w] = true;
            assert(!(runs[0] && runs[1]))
        :: else
        fi }
    :: atomic { runs[w] && lease[w] <= now -> runs[w] = false }
    :: atomic { runs[w] && lease[w] > now -> runs[w] = false; hasEnd[w] = true }
    :: now >= MAX_TIME && !(runs[w] && lease[w] <= now) -> break
    od
}

/* Time passes only once every run whose lease has expired has ended. */
proctype clock() {
    do
    :: atomic { now < MAX_TIME && !(runs[0] && lease[0] <= now) && !(runs[1] && lease[1] <= now) -> now++ }
    :: now >= MAX_TIME -> break
    od
}

init {
    atomic {
        placedOn[0] = NO_WORKER;
        placedOn[1] = NO_WORKER;
        run owner(0);
        run owner(1);
        run worker(0);
        run worker(1);
        run clock()
    }
}
