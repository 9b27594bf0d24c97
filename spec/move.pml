/*
 * Planned move of one slice between two targets that check grants, with takeovers in the middle.
 *
 * Placer k is the placer of term k; only the last one can commit. What authority.pml proves is
 * assumed here: once a placer's takeover wait is over, no placer of a lower term has authority.
 * So one timer, `wait`, is both the wait of the present placer and the authority of all former
 * ones, and a former placer acts as long as it runs. The present placer can have full authority at
 * any time.
 *
 * Grant and revoke orders and their answers may be delayed, lost, repeated and reordered. A target
 * may restart and forget everything. As in authority.pml, steps that never happen stand for pauses,
 * losses, cut-offs and store outages, and timers have the length that the worst allowed clock gives
 * them.
 */
#ifndef TERMS
#define TERMS 3 /* highest term */
#endif
#ifndef TOKENS
#define TOKENS 3 /* highest token */
#endif
#ifndef RESTARTS
#define RESTARTS 1 /* restarts of targets */
#endif
#ifndef AUTHORITY
#define AUTHORITY 1 /* in ticks; also the longest grant */
#endif

#define NONE 0
#define INTENT 1 /* commits that a move begins */
#define SETTLE 2 /* commits that the next owner is the owner */
#define CANCEL 3 /* commits that the owner stays, under a new token */

typedef Record {
    bool moving;
    bool owner;
    byte token; /* of the owner */
    byte nextToken; /* while moving: of the other target */
}

typedef Placer {
    Record known; /* the record as it committed or read it */
    bool cleared; /* while moving: the owner holds nothing */
    bool nextClear; /* while moving: the next owner holds nothing */
    byte granted[2]; /* timers: own grants to each target lapse then */
    byte write; /* kind of the write in flight */
    bool committed; /* it took effect, and its answer is on the way */
    byte writeToken; /* the token that it takes */
}

typedef Holder {
    byte lease; /* timer of the grant */
    byte term; /* highest term seen */
    byte token; /* highest token seen */
    byte grantTerm; /* grant order in flight; 0: none */
    byte grantToken;
    byte grantSpan; /* timer: its expiry */
    byte revokeTerm; /* revoke order in flight; 0: none */
    byte revokeToken;
    bool revokeLast; /* no grant of the same term was sent to it after this revoke */
    byte ackTerm; /* answer to a revoke in flight; 0: none */
    byte ackToken;
}

Record stored;
Placer placer[TERMS + 1];
Holder target[2];
byte term = 1;
byte wait = 0;
byte lastToken = 1; /* highest token in the store */
byte highest = 1; /* highest token that any target accepted */
byte restarts = 0;
byte settledToken = 1; /* highest token whose settling was acknowledged to a placer */

/* A placer whose authority lapsed for good was forgotten: it knows token 0. */
#define may(k) (k == term || (k < term && wait > 0 && placer[k].known.token > 0))
#define authority(k) (k == term -> AUTHORITY : wait)
#define other(t) (1 - (t))
#define waited(k) (k < term || wait == 0)

inline clearGrant(t)
{
    target[t].grantTerm = 0;
    target[t].grantToken = 0;
    target[t].grantSpan = 0
}

inline clearRevoke(t)
{
    target[t].revokeTerm = 0;
    target[t].revokeToken = 0;
    target[t].revokeLast = 0
}

inline clearAck(t)
{
    target[t].ackTerm = 0;
    target[t].ackToken = 0
}

inline copyRecord(to, from)
{
    to.moving = from.moving;
    to.owner = from.owner;
    to.token = from.token;
    to.nextToken = from.nextToken
}

/* Applies a write of kind `kind` to a record. */
inline change(r, kind, newToken)
{
    if
    :: kind == INTENT ->
        r.moving = 1;
        r.nextToken = newToken
    :: kind == SETTLE ->
        r.moving = 0;
        r.owner = 1 - r.owner;
        r.token = r.nextToken;
        r.nextToken = 0
    :: kind == CANCEL ->
        r.moving = 0;
#ifndef MUT_TOKEN_REUSED
        r.token = newToken;
#endif
        r.nextToken = 0
    :: else
    fi
}

inline forget(k)
{
    placer[k].known.moving = 0;
    placer[k].known.owner = 0;
    placer[k].known.token = 0;
    placer[k].known.nextToken = 0;
    placer[k].cleared = 0;
    placer[k].nextClear = 0;
    placer[k].granted[0] = 0;
    placer[k].granted[1] = 0;
    placer[k].write = NONE;
    placer[k].writeToken = 0;
    placer[k].committed = 0
}

inline sendGrant(k, t, number)
{
    printf("%d sends grant to %d token %d\n", k, t, number);
    target[t].grantTerm = k;
    target[t].grantToken = number;
    target[t].grantSpan = authority(k);
#ifndef MUT_ACK_UNMATCHED
    /* an answer to an earlier revoke does not count any more */
    if
    :: target[t].revokeTerm == k -> target[t].revokeLast = 0
    :: else
    fi;
    if
    :: target[t].ackTerm == k -> clearAck(t)
    :: else
    fi;
#endif
    if
    :: k == term -> placer[k].granted[t] = AUTHORITY
    :: else
    fi
}

inline acceptGrant(t)
{
    printf("%d accepts grant of %d\n", t, target[t].grantTerm);
    if
    :: target[t].grantSpan == 0 -> target[t].lease = AUTHORITY /* only mutations get here */
    :: target[t].grantSpan > target[t].lease -> target[t].lease = target[t].grantSpan
    :: else
    fi;
    target[t].term = target[t].grantTerm;
    target[t].token = target[t].grantToken;
#ifndef MUT_NO_SEQUENCE
    if
    :: target[t].revokeTerm == target[t].grantTerm && !target[t].revokeLast -> clearRevoke(t)
    :: else
    fi;
#endif
    /* at most one unexpired owner of the key */
    assert(target[other(t)].lease == 0);
    /* tokens only grow, over both targets */
    assert(target[t].grantToken >= highest);
    highest = target[t].grantToken
}

inline acceptRevoke(t)
{
    printf("%d accepts revoke of %d\n", t, target[t].revokeTerm);
    target[t].term = target[t].revokeTerm;
    if
    :: target[t].token <= target[t].revokeToken -> target[t].lease = 0
    :: else
    fi;
#ifndef MUT_NO_SEQUENCE
    if
    :: target[t].grantTerm == target[t].revokeTerm && target[t].revokeLast -> clearGrant(t)
    :: else
    fi;
#endif
    if
    :: target[t].revokeLast ->
        target[t].ackTerm = target[t].revokeTerm;
        target[t].ackToken = target[t].revokeToken
    :: else
    fi
}

inline countDown(value)
{
    if
    :: value > 0 -> value--
    :: else
    fi
}

inline commit(k)
{
    assert(stored.token == placer[k].known.token && stored.moving == placer[k].known.moving);
    if
    :: placer[k].write != SETTLE ->
        lastToken++;
        placer[k].writeToken = lastToken
    :: else
    fi;
    change(stored, placer[k].write, lastToken);
    printf("%d commits %d: moving %d owner %d token %d next %d\n", k, placer[k].write,
           stored.moving, stored.owner, stored.token, stored.nextToken);
    /* an acknowledged assignment survives */
    assert(stored.token >= settledToken);
    placer[k].committed = 1
}

inline answer(k)
{
    change(placer[k].known, placer[k].write, placer[k].writeToken);
    printf("%d learns of its write %d\n", k, placer[k].write);
    if
    :: placer[k].write == SETTLE -> settledToken = placer[k].known.token
    :: else
    fi;
    placer[k].cleared = 0;
    placer[k].nextClear = 0;
    placer[k].write = NONE;
    placer[k].writeToken = 0;
    placer[k].committed = 0
}

#ifdef MUT_NO_WAIT
#define lapsed(k, t) (placer[k].granted[t] == 0)
#else
#define lapsed(k, t) (waited(k) && placer[k].granted[t] == 0)
#endif
/* Only the present placer counts lapses; a former one has no say any more. */
#ifdef MUT_ONLY_ACKS
#define mayClear(k) false
#else
#define mayClear(k) (k == term && placer[k].known.moving && !placer[k].cleared && \
                     lapsed(k, placer[k].known.owner))
#endif
#define mayClearNext(k) (k == term && placer[k].known.moving && !placer[k].cleared && \
                         !placer[k].nextClear && lapsed(k, other(placer[k].known.owner)))

#ifdef MUT_ACK_SKIPS_WAIT
#define ackCounts(k) true
#else
#define ackCounts(k) (k == term && wait == 0)
#endif

proctype Place(byte k)
{
    byte t;
end:
    do
    /* commits the intent of a move */
    :: d_step { k == term && placer[k].write == NONE && !placer[k].known.moving &&
                lastToken < TOKENS -> placer[k].write = INTENT }
    /* commits the settled record */
    :: d_step { k == term && placer[k].write == NONE && placer[k].known.moving &&
#ifndef MUT_SETTLE_BEFORE_REVOKE
                placer[k].cleared &&
#endif
                true -> placer[k].write = SETTLE }
    /* gives the move up: the next owner holds nothing, and the owner goes on under a new token */
    :: d_step { k == term && placer[k].write == NONE && placer[k].known.moving &&
                placer[k].nextClear && !placer[k].cleared && lastToken < TOKENS ->
        placer[k].write = CANCEL }
    /* the store applies the write; one of a former placer conflicts */
    :: d_step { k == term && placer[k].write != NONE && !placer[k].committed -> commit(k) }
    /* the answer arrives, or a read shows what became of the write */
    :: d_step { may(k) && placer[k].committed -> answer(k) }
    /* renews the grant of the owner, also during the takeover wait */
    :: d_step { may(k) && !placer[k].known.moving ->
        t = placer[k].known.owner;
        sendGrant(k, t, placer[k].known.token);
        t = 0
      }
    /* grants to the next owner */
    :: d_step { may(k) && placer[k].known.moving && placer[k].cleared &&
                placer[k].write != CANCEL ->
        t = other(placer[k].known.owner);
        sendGrant(k, t, placer[k].known.nextToken);
        t = 0
      }
    /* revokes the owner's grant */
    :: d_step { may(k) && placer[k].known.moving && !placer[k].cleared &&
                placer[k].write == NONE ->
        t = placer[k].known.owner;
        target[t].revokeTerm = k;
        target[t].revokeToken = placer[k].known.token;
        target[t].revokeLast = 1;
        t = 0
      }
    /* revokes what the next owner may hold from a former placer */
    :: d_step { may(k) && placer[k].known.moving && !placer[k].cleared &&
                placer[k].write == NONE ->
        t = other(placer[k].known.owner);
        target[t].revokeTerm = k;
        target[t].revokeToken = placer[k].known.nextToken;
        target[t].revokeLast = 1;
        t = 0
      }
    /* a revoke was acknowledged */
    :: d_step { may(k) && ackCounts(k) && placer[k].known.moving && !placer[k].cleared &&
                target[placer[k].known.owner].ackTerm == k &&
                target[placer[k].known.owner].ackToken == placer[k].known.token &&
                placer[k].write == NONE ->
        t = placer[k].known.owner;
        clearAck(t);
        t = 0;
        printf("%d: revoked\n", k);
        placer[k].cleared = 1
      }
    :: d_step { may(k) && ackCounts(k) && placer[k].known.moving && !placer[k].cleared &&
                !placer[k].nextClear &&
                target[other(placer[k].known.owner)].ackTerm == k &&
                target[other(placer[k].known.owner)].ackToken == placer[k].known.nextToken &&
                placer[k].write == NONE ->
        t = other(placer[k].known.owner);
        clearAck(t);
        t = 0;
        printf("%d: next revoked\n", k);
        placer[k].nextClear = 1
      }
    /* grants have lapsed */
    :: d_step { mayClear(k) && placer[k].write == NONE -> placer[k].cleared = 1; printf("%d: lapsed\n", k) }
    :: d_step { mayClearNext(k) && placer[k].write == NONE -> placer[k].nextClear = 1 }
    /* the next placer takes over from this one */
    :: d_step { k == term && term < TERMS ->
        t = k + 1;
        copyRecord(placer[t].known, stored);
        t = 0;
        if
        :: !placer[k].committed -> placer[k].write = NONE
        :: else
        fi;
        term++;
        printf("takeover: term %d\n", term);
        wait = AUTHORITY
      }
    od
}

#ifdef MUT_LATE_GRANT
#define inTime(t) true
#else
#define inTime(t) (target[t].grantSpan > 0)
#endif
#define newEnough(t, k) (k >= target[t].term)
#define grantable(t) (target[t].grantTerm > 0 && inTime(t) && \
                      newEnough(t, target[t].grantTerm) && target[t].grantToken >= target[t].token)
#define revocable(t) (target[t].revokeTerm > 0 && newEnough(t, target[t].revokeTerm))

proctype Hold(byte t)
{
end:
    do
    /* takes an order; a repeated one is taken and stays in flight */
    :: d_step { grantable(t) -> acceptGrant(t) }
    :: d_step { grantable(t) -> acceptGrant(t); clearGrant(t) }
    :: d_step { revocable(t) -> acceptRevoke(t) }
    :: d_step { revocable(t) -> acceptRevoke(t); clearRevoke(t) }
    /* restarts: forgets all, and refuses orders to its former start id */
    :: d_step { restarts < RESTARTS && target[t].term > 0 ->
        restarts++;
        printf("%d restarts\n", t);
        target[t].lease = 0;
        target[t].term = 0;
        target[t].token = 0;
        clearGrant(t);
        clearRevoke(t)
      }
    od
}

inline tick()
{
    printf("tick\n");
    for (n : 0 .. 1) {
        countDown(target[n].lease);
        countDown(target[n].grantSpan);
#ifndef MUT_LATE_GRANT
        if
        :: target[n].grantSpan == 0 -> clearGrant(n)
        :: else
        fi;
#endif
        countDown(placer[term].granted[n])
    }
    countDown(wait);
    if
    :: wait == 0 ->
        for (n : 1 .. TERMS) {
            if
            :: n < term -> forget(n)
            :: else
            fi
        }
    :: else
    fi;
    n = 0
}

/* Liveness in a bounded form: from every reachable state, once faults cease, the present placer
   opens the key within the takeover wait and one tick more, although the former owner never
   answers. The check plays that schedule and ends. */
inline recover()
{
    round = 0;
    do
    :: target[0].lease > 0 || target[1].lease > 0 -> break
    :: else ->
        assert(round <= AUTHORITY + 1);
        if
        :: placer[term].write != NONE && !placer[term].committed -> commit(term)
        :: else
        fi;
        if
        :: placer[term].committed -> answer(term)
        :: else
        fi;
        if
        :: mayClear(term) -> placer[term].cleared = 1
        :: else
        fi;
        if
        :: !placer[term].known.moving ->
            n = placer[term].known.owner;
            sendGrant(term, n, placer[term].known.token);
            assert(grantable(n));
            acceptGrant(n)
        :: placer[term].known.moving && placer[term].cleared ->
            n = other(placer[term].known.owner);
            sendGrant(term, n, placer[term].known.nextToken);
            assert(grantable(n));
            acceptGrant(n)
        :: else -> tick()
        fi;
        round++
    od
}

bool ended = 0;

proctype Time()
{
    byte n, round;
end:
    do
    :: d_step { !ended -> tick() }
#ifdef PROGRESS
    :: atomic { !ended -> d_step { recover(); ended = 1 }; goto done }
#endif
    od;
done: skip
}

init {
    d_step {
        stored.token = 1;
        placer[1].known.token = 1
    }
    atomic {
        run Time();
        run Hold(0);
        run Hold(1);
        run Place(1);
        run Place(2)
#if TERMS > 2
        ;
        run Place(3)
#endif
    }
}
