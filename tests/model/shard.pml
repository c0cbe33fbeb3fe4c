/*
 * Ownership of a shard by a store row and a fencing token: two owners, two workers, one task.
 *
 * An owner takes the row, confirms that it holds it, lists the workers, starts the task, and
 * stores its end. Orders may be delivered at any later time, which is also an owner that is
 * frozen between deciding and sending. Workers count leases on their own clocks, here one
 * clock for all; a wait ends strictly after a lease, for the margin that the code keeps. The task may run in one place at a time, and not again once its end is
 * stored and the worker has been told to forget it.
 *
 * Each rule can be taken out: -DNO_FENCE -DLEASE_FROM_SENDING -DNO_DOUBT -DNO_BAR
 * -DNOTE_BEFORE_STORED -DNO_CONDITION
 */
#ifndef LEASE
#define LEASE 2
#endif
#ifndef LAST
#define LAST 8 /* time ends */
#endif
#define NOBODY 2

byte now = 0;
byte rowVersion = 0;    /* of the ownership row */
bool stored = false;    /* the task's end is in the store */

/* owners */
byte token[2];
byte confirmedAt[2];
byte doubtUntil[2];
bool knowsDone[2];      /* read from the store, or stored by itself */
bool sawEnd[2];         /* a worker listed it */
bool listed0[2];        /* worker 0 answered under this token */
bool listed1[2];
byte placed[2];         /* worker that the owner believes to have the task */
byte placedUntil[2];    /* deadline of that order */

/* workers */
byte seenToken[2];
byte lease[2];
bool runs[2];
bool barred[2];         /* the present owner's attempt is refused for good */
byte barredToken[2];
bool hasEnd[2];         /* listed until it is noted */

/* one order on its way to each worker */
bool onWay[2];
byte orderToken[2];
byte orderDeadline[2];

bool noted = false;     /* some worker was told to forget the end */

#define IS_OWNER(o) (token[o] != 0)
#define RESOLVED(o) ((listed0[o] && listed1[o]) || now > doubtUntil[o])

#ifdef NOTE_BEFORE_STORED
#define MAY_NOTE(o) sawEnd[o]
#else
#define MAY_NOTE(o) knowsDone[o]
#endif

inline fenceOk(w, t, ok) {
#ifdef NO_FENCE
    ok = true;
#else
    ok = (t >= seenToken[w]);
    if :: ok -> seenToken[w] = t :: else fi
#endif
}

inline deadlineOf(o, d) {
#ifdef LEASE_FROM_SENDING
    d = now + LEASE;
#else
    d = confirmedAt[o] + LEASE;
#endif
}

inline take(o) {
    rowVersion++;
    token[o] = rowVersion;
    confirmedAt[o] = now;
#ifdef NO_DOUBT
    doubtUntil[o] = now;
#else
    doubtUntil[o] = now + LEASE;
#endif
    knowsDone[o] = stored;
    sawEnd[o] = false;
    listed0[o] = false;
    listed1[o] = false;
    placed[o] = NOBODY;
}

inline list(o, w, ok, d) {
    fenceOk(w, token[o], ok);
    if
    :: ok ->
        deadlineOf(o, d);
        if :: d > lease[w] -> lease[w] = d :: else fi;
        if :: w == 0 -> listed0[o] = true :: else -> listed1[o] = true fi;
        if :: runs[w] -> placed[o] = w; placedUntil[o] = lease[w] :: else fi;
        if :: hasEnd[w] -> sawEnd[o] = true :: else fi
    :: else
    fi
}

proctype owner(byte o) {
    bool ok;
    byte d;
    byte w;
    do
    :: now < LAST && rowVersion < 3 -> atomic { take(o) }
    :: IS_OWNER(o) -> atomic {
        if :: rowVersion == token[o] -> confirmedAt[o] = now :: else fi }
    :: IS_OWNER(o) -> atomic { list(o, 0, ok, d) }
    :: IS_OWNER(o) -> atomic { list(o, 1, ok, d) }
    :: atomic { IS_OWNER(o) && RESOLVED(o) && placed[o] == NOBODY && !knowsDone[o] && !sawEnd[o] ->
        if :: w = 0 :: w = 1 fi;
        if
        :: !onWay[w] ->
            deadlineOf(o, d);
            onWay[w] = true;
            orderToken[w] = token[o];
            orderDeadline[w] = d;
            placed[o] = w;
            placedUntil[o] = d
        :: else
        fi }
    /* no answer came: the order must be barred, or its deadline over, before the task goes elsewhere */
    :: atomic { IS_OWNER(o) && placed[o] != NOBODY ->
        w = placed[o];
#ifdef NO_BAR
        placed[o] = NOBODY
#else
        if
        :: now > placedUntil[o] && now > lease[w] -> placed[o] = NOBODY
        :: true ->
            fenceOk(w, token[o], ok);
            if
            :: ok && !hasEnd[w] ->
                barred[w] = true;
                barredToken[w] = token[o];
                runs[w] = false;
                placed[o] = NOBODY
            :: else
            fi
        fi
#endif
       }
    /* the end is stored, then the worker may forget it */
    :: atomic { IS_OWNER(o) && sawEnd[o] && !knowsDone[o] ->
#ifdef NO_CONDITION
        stored = true; knowsDone[o] = true
#else
        if :: rowVersion == token[o] -> stored = true; knowsDone[o] = true :: else fi
#endif
       }
    :: atomic { IS_OWNER(o) && MAY_NOTE(o) ->
        w = (hasEnd[0] -> 0 : 1);
        fenceOk(w, token[o], ok);
        if :: ok && hasEnd[w] -> hasEnd[w] = false; noted = true :: else fi }
    :: now >= LAST -> break
    od
}

proctype worker(byte w) {
    bool ok;
    do
    :: atomic { onWay[w] ->
        onWay[w] = false;
        fenceOk(w, orderToken[w], ok);
        if
        :: ok && orderDeadline[w] > now && !(barred[w] && orderToken[w] <= barredToken[w]) && !hasEnd[w] ->
            if :: orderDeadline[w] > lease[w] -> lease[w] = orderDeadline[w] :: else fi;
            assert(!noted);
            runs[w] = true;
            assert(!(runs[0] && runs[1]))
        :: else
        fi }
    :: atomic { runs[w] && lease[w] <= now -> runs[w] = false }
    :: atomic { runs[w] && lease[w] > now -> runs[w] = false; hasEnd[w] = true }
    :: now >= LAST && !(runs[w] && lease[w] <= now) -> break
    od
}

/* Time passes only when no lease that has run out is still kept. */
proctype clock() {
    do
    :: atomic { now < LAST && !(runs[0] && lease[0] <= now) && !(runs[1] && lease[1] <= now) -> now++ }
    :: now >= LAST -> break
    od
}

init {
    atomic {
        placed[0] = NOBODY;
        placed[1] = NOBODY;
        run owner(0);
        run owner(1);
        run worker(0);
        run worker(1);
        run clock()
    }
}
