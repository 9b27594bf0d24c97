/*
 * Moves of one slice between a target that checks no grants (0) and one that does (1).
 *
 * The first is kept exclusive on the entry side: an entry instance sends to it only while its view
 * lease runs, and gives each request a deadline no later than the lease. As in move.pml, placer k is
 * the placer of term k, and `wait` is both the takeover wait of the present placer and the authority
 * of all former ones.
 *
 * Views are numbered like records: an even one is open to a target, an odd one holds requests
 * while a move is under way. A placer shows view r + 1 of an unsettled record r once the former
 * owner holds nothing.
 *
 * An entry that a placer does not know is one whose acknowledgements never reached it; a restarted
 * entry is another one. Messages may be delayed, lost, repeated and reordered.
 */
#ifndef TERMS
#define TERMS 2 /* highest term */
#endif
#ifndef RECORDS
#define RECORDS 4 /* highest record number; two a move */
#endif
#ifndef ENTRIES
#define ENTRIES 2 /* entry instances */
#endif
#ifndef AUTHORITY
#define AUTHORITY 1 /* in ticks; also the longest view lease and grant */
#endif

#define open(v) ((v) % 2 == 0)
#define ownerOf(v) (((v) / 2) % 2)
#define LAX 0 /* the target that checks no grants */
#define STRICT 1

typedef Placer {
    byte record; /* as it committed or read it */
    bool known; /* this placer has authority, or can get it */
    bool cleared; /* of an odd record: the former owner holds nothing */
    byte granted; /* timer: own grants to the strict target lapse then */
    byte heard[ENTRIES]; /* timer: view lease that counts from the entry's last acknowledgement */
    byte leased[ENTRIES]; /* timer: own view lease of the entry lapses then */
    bool closed[ENTRIES]; /* the entry acknowledged the odd view */
    bool writing; /* a write of the next record is in flight */
    bool committed; /* it took effect, and its answer is on the way */
}

typedef Entry {
    byte term; /* of the view */
    byte view; /* number of the view */
    byte lease; /* timer of the view lease */
    byte request; /* timer: deadline of a request that the lax target runs */
    byte ackTerm; /* acknowledgement in flight; 0: none */
    byte ackView;
    byte sinceAck; /* timer: a lease that counts from sending the last acknowledgement */
    byte updateTerm; /* route update in flight; 0: none */
    byte updateView;
    byte updateSpan; /* timer: end of the sender's authority, or of the lease it counts */
    bool updateEchoes; /* it answers the last acknowledgement */
}

Placer placer[TERMS + 1];
Entry entry[ENTRIES];
byte term = 1;
byte wait = 0;
byte stored = 0; /* record in the store */
byte lease = 0; /* timer: grant of the strict target */
byte orderSpan = 0; /* timer: grant order in flight */

#define may(k) (k == term || (k < term && wait > 0 && placer[k].known))
#define authority(k) (k == term -> AUTHORITY : wait)
#define least(a, b) ((a) < (b) -> (a) : (b))
#define shown(k) (placer[k].record + placer[k].cleared)

inline countDown(value)
{
    if
    :: value > 0 -> value--
    :: else
    fi
}

/* One owner: the strict target holds no grant while a request runs, or may be sent, at the lax
   one. */
#define idle(e) (entry[e].request == 0 && \
                 (entry[e].lease == 0 || !open(entry[e].view) || ownerOf(entry[e].view) != LAX))
inline assertExclusive()
{
    assert(lease == 0 || (idle(0) && idle(ENTRIES - 1)))
}

#ifdef MUT_VIEW_ACK_SKIPS_WAIT
#define waited(k) true
#else
#define waited(k) (k == term && wait == 0)
#endif
#ifdef MUT_HOLD_NOT_AWAITED
#define closedFor(k, e) true
#else
#define closedFor(k, e) (placer[k].closed[e] || placer[k].leased[e] == 0)
#endif

inline clearUpdate(e)
{
    entry[e].updateTerm = 0;
    entry[e].updateView = 0;
    entry[e].updateSpan = 0;
    entry[e].updateEchoes = 0
}

inline forget(k)
{
    placer[k].known = 0;
    placer[k].record = 0;
    placer[k].cleared = 0;
    placer[k].granted = 0;
    for (m : 0 .. ENTRIES - 1) {
        placer[k].heard[m] = 0;
        placer[k].leased[m] = 0;
        placer[k].closed[m] = 0
    }
    placer[k].writing = 0;
    placer[k].committed = 0;
    m = 0
}

inline restartMove(k)
{
    placer[k].cleared = 0;
    for (m : 0 .. ENTRIES - 1) {
        placer[k].closed[m] = 0
    }
    m = 0
}

proctype Place(byte k)
{
    byte m;
end:
    do
    /* commits an intent, or settles once the former owner holds nothing */
    :: d_step { k == term && !placer[k].writing && placer[k].record < RECORDS &&
                (open(placer[k].record) || placer[k].cleared) -> placer[k].writing = 1 }
    :: d_step { k == term && placer[k].writing && !placer[k].committed ->
        stored++;
        placer[k].committed = 1;
        printf("%d commits record %d\n", k, stored)
      }
    :: d_step { may(k) && placer[k].committed ->
        placer[k].record++;
        placer[k].writing = 0;
        placer[k].committed = 0;
        restartMove(k)
      }
    /* the lax target is closed: every entry with a lease of this placer acknowledged the hold, or
       its lease lapsed */
    :: d_step { may(k) && !open(placer[k].record) && !placer[k].cleared && !placer[k].writing &&
                ownerOf(placer[k].record) == LAX && waited(k) && closedFor(k, 0) &&
                closedFor(k, ENTRIES - 1) ->
        placer[k].cleared = 1;
        printf("%d closed the lax target\n", k)
      }
    /* the strict target's grant lapsed, or it acknowledged a revoke (move.pml has the details) */
    :: d_step { k == term && !open(placer[k].record) && !placer[k].cleared && !placer[k].writing &&
                ownerOf(placer[k].record) == STRICT && wait == 0 && placer[k].granted == 0 ->
        placer[k].cleared = 1;
        printf("%d closed the strict target\n", k)
      }
    :: d_step { k == term && !open(placer[k].record) && !placer[k].cleared && !placer[k].writing &&
                ownerOf(placer[k].record) == STRICT && wait == 0 ->
        lease = 0;
        orderSpan = 0;
        placer[k].granted = 0;
        placer[k].cleared = 1;
        printf("%d revoked at the strict target\n", k)
      }
    /* grants to the strict target */
    :: d_step { may(k) && open(shown(k)) && ownerOf(shown(k)) == STRICT ->
        orderSpan = authority(k);
        placer[k].granted = authority(k)
      }
    /* the next placer takes over */
    :: d_step { k == term && term < TERMS ->
        m = k + 1;
        placer[m].record = stored;
        placer[m].known = 1;
        m = 0;
        if
        :: !placer[k].committed -> placer[k].writing = 0
        :: else
        fi;
        term++;
        wait = AUTHORITY;
        printf("takeover: term %d record %d\n", term, stored)
      }
    od
}

/* The exchange between placer k and entry e. */
proctype Link(byte k, e)
{
end:
    do
    /* the placer hears an acknowledgement */
    :: d_step { may(k) && entry[e].ackTerm == k ->
        placer[k].heard[e] = AUTHORITY;
        if
        :: !open(placer[k].record) && entry[e].ackView >= placer[k].record &&
           !placer[k].writing -> placer[k].closed[e] = 1
        :: else
        fi
      }
    /* the placer sends the view, with a lease that ends with its authority at the latest */
    :: d_step { may(k) ->
        entry[e].updateTerm = k;
        entry[e].updateView = shown(k);
        entry[e].updateSpan = least(placer[k].heard[e], authority(k));
        entry[e].updateEchoes = (entry[e].updateSpan > 0);
        if
        :: open(shown(k)) && entry[e].updateSpan > placer[k].leased[e] ->
            placer[k].leased[e] = entry[e].updateSpan
        :: else
        fi;
        printf("%d sends view %d to entry %d\n", k, shown(k), e)
      }
    od
}

#define newer(e) (entry[e].updateTerm > entry[e].term || \
                  (entry[e].updateTerm == entry[e].term && entry[e].updateView >= entry[e].view))

proctype Enter(byte e)
{
end:
    do
    /* takes a route update; a repeated one stays in flight */
    :: d_step { entry[e].updateTerm > 0 && newer(e) ->
        entry[e].term = entry[e].updateTerm;
        entry[e].view = entry[e].updateView;
        printf("entry %d takes view %d of %d\n", e, entry[e].view, entry[e].term);
        if
#ifdef MUT_VIEW_LEASE_FROM_RECEIPT
        :: entry[e].updateEchoes -> entry[e].lease = AUTHORITY
#else
        :: entry[e].updateEchoes -> entry[e].lease = least(entry[e].sinceAck, entry[e].updateSpan)
#endif
        :: else
        fi;
        assertExclusive()
      }
    /* acknowledges its view; a hold only once no request is in flight */
    :: d_step { entry[e].term > 0 && (open(entry[e].view) || entry[e].request == 0) ->
        entry[e].ackTerm = entry[e].term;
        entry[e].ackView = entry[e].view;
        entry[e].sinceAck = AUTHORITY;
        entry[e].updateEchoes = 0
      }
    /* sends a request to the lax target, with a deadline no later than the lease */
    :: d_step { open(entry[e].view) && ownerOf(entry[e].view) == LAX && entry[e].lease > 0 &&
                entry[e].request < entry[e].lease ->
#ifdef MUT_DEADLINE_NOT_CAPPED
        entry[e].request = AUTHORITY + 1;
#else
        entry[e].request = entry[e].lease;
#endif
        assertExclusive()
      }
    /* the request ends */
    :: d_step { entry[e].request > 0 -> entry[e].request = 0 }
    od
}

proctype Strict()
{
end:
    do
    :: d_step { orderSpan > 0 ->
        lease = (orderSpan > lease -> orderSpan : lease);
        printf("strict target accepts a grant\n");
        assertExclusive()
      }
    :: d_step { orderSpan > 0 -> orderSpan = 0 }
    od
}

proctype Time()
{
    byte n, m;
end:
    do
    :: d_step {
        printf("tick\n");
        for (n : 0 .. ENTRIES - 1) {
            countDown(entry[n].lease);
            countDown(entry[n].request);
            countDown(entry[n].sinceAck);
            countDown(entry[n].updateSpan);
#ifndef MUT_VIEW_LEASE_FROM_RECEIPT
            if
            :: entry[n].updateSpan == 0 || entry[n].sinceAck == 0 -> entry[n].updateEchoes = 0
            :: else
            fi;
#endif
            countDown(placer[term].heard[n]);
            countDown(placer[term].leased[n]);
            if
            :: term > 1 ->
                countDown(placer[term - 1].heard[n]);
                countDown(placer[term - 1].leased[n])
            :: else
            fi
        }
        n = 0;
        countDown(placer[term].granted);
        countDown(lease);
        countDown(orderSpan);
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
    od
}

init {
    placer[1].known = 1;
    atomic {
        run Time();
        run Strict();
        run Enter(0);
        run Link(1, 0);
        run Link(2, 0);
#if ENTRIES > 1
        run Enter(1);
        run Link(1, 1);
        run Link(2, 1);
#endif
        run Place(1);
        run Place(2)
    }
}
