/*
 * Authority and takeover of one cell: whoever may change owners is alone.
 *
 * Instances are identities: all but the last are candidates at the start, in two zones (even
 * numbers in one, odd ones in the other); the last is a restarted process under its new name, which
 * the placer may put in a candidate's place.
 *
 * Steps that never happen stand for faults: an instance that takes no step is paused or dead, a
 * message or write that is never delivered is lost or cut off, a store that applies nothing is
 * down, an answer that is never taken was lost. The interleaving allows each at every point and for
 * any length, so they need no state.
 *
 * Time is a tick that counts timers down to 0. Each timer has the length that the worst allowed
 * clock gives it: authority on the slowest clock, waits on the fastest. Acting is always optional,
 * so that these cover all other rates.
 *
 * Versions are not counted. Each commit clears `fresh` (the instance knows the present version) and
 * `ok` (the write in flight expects the present version) of all others, which is all that a
 * conditional update can tell.
 *
 * The wait of a candidate runs from the later of two instants: when it first learned the version
 * that its takeover replaces, and when it last promised. Waiting from the confirmation of the
 * takeover is longer, and so covered.
 */
#ifndef TERMS
#define TERMS 3 /* highest term */
#endif
#ifndef LISTS
#define LISTS 1 /* updates of the candidate list */
#endif
#ifndef SPAN
#define SPAN 1 /* authority in ticks of the local clock */
#endif
#ifndef DRIFT
#define DRIFT 0 /* largest error of a local span, in ticks */
#endif
/* SPARE: one candidate's promise may be missing. A new placer then counts its wait from when one
   more of the old candidates has promised the new term, and so promises no earlier one. */
#ifndef N
#define N 4 /* instances */
#endif
#ifdef SPARE
#define ALL (bit(N) - 1) /* candidates at the start; no restarted one */
#else
#define ALL (bit(N - 1) - 1) /* candidates at the start */
#endif

#define AUTHORITY (SPAN + DRIFT) /* SPAN on the slowest clock */
#ifdef MUT_NO_DRIFT_MARGIN
#define WAIT (SPAN - DRIFT)
#else
#define WAIT (SPAN + 2 * DRIFT - DRIFT) /* SPAN and twice the drift, on the fastest clock */
#endif

#define NONE 0
#define TOUCH 1 /* changes nothing but the version, and so confirms the term */
#define LIST 2 /* replaces the candidate list */
#define TAKEOVER 3 /* names a new placer */

#define bit(i) (1 << (i))

typedef Instance {
    byte term; /* highest term known */
    bool placer; /* believes to be the placer of that term */
    bool fresh; /* knows the present version of the record */
    byte list; /* as placer or with a takeover in flight: candidates */
    byte newList; /* with a list update in flight */
    byte authority; /* timer: may renew grants while positive */
    byte wait; /* timer: at 0, what others could renew has lapsed */
    byte write; /* kind of the write in flight */
    bool committed; /* the write took effect, and its answer is on the way */
    bool ok; /* the write expects the present version */
    byte writeTerm; /* its term */
    byte writeSpan; /* timer: authority that it confirms, counted from sending */
    byte roundSpan; /* timer: authority that the round of promises gives, counted from sending */
    byte promises; /* candidates that promised in this round */
    bool joined; /* with SPARE: an old candidate left the earlier terms for this one */
}
Instance node[N];

byte storeTerm = 1;
byte storeList = ALL;
byte lists = 0;

inline stepDown(n)
{
    node[n].placer = 0;
    node[n].list = 0;
    node[n].newList = 0;
    node[n].authority = 0;
    node[n].roundSpan = 0;
    node[n].promises = 0;
    node[n].joined = 0
}

/* The instance hears of a term. */
inline learnTerm(n, heard)
{
    if
    :: heard > node[n].term ->
        if
        :: node[n].write != TAKEOVER -> stepDown(n)
        :: else
        fi;
        node[n].term = heard
    :: else
    fi
}

/* What others may have renewed until now lapses within the wait. Kept only where it can matter. */
inline startWait(n)
{
    if
    :: storeTerm < TERMS || node[n].write == TAKEOVER -> node[n].wait = WAIT
    :: else
    fi
}

inline send(n, kind)
{
    node[n].write = kind;
    node[n].ok = node[n].fresh;
    node[n].writeSpan = AUTHORITY
}

inline endWrite(n)
{
    node[n].write = NONE;
    node[n].committed = 0;
    node[n].ok = 0;
    node[n].writeTerm = 0;
    node[n].writeSpan = 0;
    node[n].newList = 0
}

/* A commit of n: no other instance knows the present version any more. */
inline overtake(n)
{
    for (j : 0 .. N - 1) {
        if
        :: j != n ->
            node[j].fresh = 0;
            node[j].ok = 0
        :: else
        fi;
        if
        :: storeTerm == TERMS && !node[j].placer && node[j].write != TAKEOVER -> node[j].wait = 0
        :: else
        fi
    }
    j = 0
}

#define missing(n, l) ((l) & ~bit(n) & ~node[n].promises)
#ifdef SPARE
#define atMostOne(set) (((set) & ((set) - 1)) == 0)
#define enough(n, l) ((l) == ALL -> atMostOne(missing(n, l)) : missing(n, l) == 0)
#else
#define enough(n, l) (missing(n, l) == 0)
#endif
#ifdef MUT_UNION_DROPPED
#define agreed(n) enough(n, node[n].list)
#else
#define agreed(n) (enough(n, node[n].list) && (node[n].newList == 0 || enough(n, node[n].newList)))
#endif

#ifdef MUT_PROMISE_UNDER_OLD_TERM
#define allowed(n, c) true
#else
#define allowed(n, c) (node[n].term <= node[c].term)
#endif
#define mayPromise(n, c) (n != c && node[c].placer && node[c].roundSpan > 0 && \
                          !(node[c].promises & bit(n)) && allowed(n, c))

/* Node n promises to c; it learns the term by the request. */
inline promise(n, c)
{
    node[c].promises = node[c].promises | bit(n);
#ifndef MUT_PROMISE_FORGOTTEN
    startWait(n);
#endif
    learnTerm(n, node[c].term);
#ifdef SPARE
    if
    :: !node[c].joined ->
        node[c].joined = 1;
        node[c].wait = WAIT
    :: else
    fi
#endif
}

/* n may change owners: then no placer of a lower term may renew anything. */
#define powerless(n, m) ((n) == (m) || !node[m].placer || node[m].term >= node[n].term || \
                         node[m].authority == 0)
#ifdef MUT_NO_WAIT
#define free(n) (node[n].placer)
#elif defined(SPARE) && !defined(MUT_SPARE_NOT_COUNTED)
#define free(n) (node[n].placer && node[n].wait == 0 && node[n].joined)
#else
#define free(n) (node[n].placer && node[n].wait == 0)
#endif
#define sole(n) (!free(n) || (powerless(n, 0) && powerless(n, 1) && powerless(n, 2) && \
                              powerless(n, N - 1)))
#define assertSole() assert(sole(0) && sole(1) && sole(2) && sole(N - 1))

inline gain(n, span)
{
    if
    :: span > node[n].authority -> node[n].authority = span
    :: else
    fi;
    assertSole()
}

inline countDown(value)
{
    if
    :: value > 0 -> value--
    :: else
    fi
}

proctype Node(byte i)
{
    byte j;
end:
    do
    /* reads the record from the store, or its watch reports it */
    :: d_step { !node[i].fresh && node[i].write == NONE &&
                ((storeList & bit(i)) || node[i].placer) ->
        startWait(i);
        learnTerm(i, storeTerm);
        node[i].fresh = 1
      }
    /* candidate: sends a takeover */
    :: d_step { !node[i].placer && node[i].fresh && node[i].write == NONE && storeTerm < TERMS &&
                node[i].term == storeTerm && (storeList & bit(i)) ->
        node[i].list = storeList;
        node[i].writeTerm = storeTerm + 1;
        send(i, TAKEOVER)
      }
    /* placer: asks the store to confirm its term */
    :: d_step { node[i].placer && node[i].fresh && node[i].write == NONE -> send(i, TOUCH) }
    /* placer: replaces the candidate list */
    :: d_step { node[i].placer && node[i].fresh && node[i].write == NONE && lists < LISTS &&
#ifdef SPARE
                free(i) &&
#endif
                true ->
        lists++;
#ifdef SPARE
        node[i].newList = (node[i].list == ALL -> ALL - bit((i + 1) % N) : ALL);
#else
        node[i].newList = (node[i].list == ALL -> ALL - bit((i + 1) % (N - 1)) + bit(N - 1) : ALL);
#endif
        send(i, LIST)
      }
    /* the store applies or refuses the write */
    :: d_step { node[i].write != NONE && !node[i].committed ->
        if
        :: node[i].ok ->
            node[i].committed = 1;
            if
            :: node[i].write == TAKEOVER ->
                assert(node[i].writeTerm == storeTerm + 1); /* terms only grow */
                storeTerm = node[i].writeTerm
            :: node[i].write == LIST -> storeList = node[i].newList
            :: else
            fi;
            overtake(i)
        :: else ->
            if
            :: node[i].write == TAKEOVER -> stepDown(i)
            :: else
            fi;
            endWrite(i)
        fi
      }
    /* the answer arrives, or a later read shows what became of the write */
    :: d_step { node[i].committed ->
        if
        :: node[i].write == TAKEOVER ->
            if
            :: node[i].writeTerm > node[i].term ->
                node[i].term = node[i].writeTerm;
#ifdef SPARE
                node[i].wait = WAIT;
                node[i].joined = (node[i].list != ALL);
#endif
                node[i].placer = 1
            :: else -> stepDown(i)
            fi
        :: else
        fi;
        if
        :: node[i].placer ->
            if
            :: node[i].write == LIST -> node[i].list = node[i].newList
            :: else
            fi;
#ifdef MUT_AUTHORITY_FROM_RECEIPT
            node[i].writeSpan = AUTHORITY;
#endif
            gain(i, node[i].writeSpan)
        :: else
        fi;
        endWrite(i)
      }
#ifdef MUT_GONE_BUT_RUNS
    /* placer: takes an old candidate for ended although it runs */
    :: d_step { node[i].placer && !node[i].joined -> node[i].joined = 1 }
#endif
    /* placer: starts a round of promises; answers to older rounds no longer count */
    :: d_step { node[i].placer && node[i].roundSpan == 0 -> node[i].roundSpan = AUTHORITY }
    /* candidate: promises */
    :: d_step { mayPromise(i, 0) -> promise(i, 0) }
    :: d_step { mayPromise(i, 1) -> promise(i, 1) }
    :: d_step { mayPromise(i, 2) -> promise(i, 2) }
#if N > 3
    :: d_step { mayPromise(i, 3) -> promise(i, 3) }
#endif
    /* placer: every candidate that could take over has promised */
    :: d_step { node[i].placer && node[i].roundSpan > node[i].authority &&
                agreed(i) ->
#ifdef MUT_AUTHORITY_FROM_RECEIPT
        node[i].roundSpan = AUTHORITY;
#endif
        gain(i, node[i].roundSpan);
        node[i].roundSpan = 0;
        node[i].promises = 0
      }
    od
}

proctype Ticker()
{
    byte k;
end:
    do
    :: d_step {
        for (k : 0 .. N - 1) {
            countDown(node[k].authority);
            countDown(node[k].wait);
            countDown(node[k].writeSpan);
            countDown(node[k].roundSpan);
            if
            :: node[k].roundSpan == 0 -> node[k].promises = 0
            :: else
            fi
        }
        k = 0;
        assertSole()
      }
    od
}

init {
    byte k;
    d_step {
        for (k : 0 .. N - 1) {
            if
            :: ALL & bit(k) ->
                node[k].term = 1;
                node[k].fresh = 1
            :: else
            fi
        }
        k = 0;
        node[0].placer = 1;
        node[0].list = ALL;
        node[0].joined = 1
    }
    atomic {
        run Ticker();
        run Node(0);
        run Node(1);
#if N > 3
        run Node(3);
#endif
        run Node(2)
    }
}
