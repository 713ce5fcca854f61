/* Spin model of the takeover protocol: write-once journals, seal, map, replay, resend, hand-off.
 *
 * There are N_HOMES incarnations and two non-idempotent calls on two branches of one program.
 * Callers are not processes: any home may receive any call at any time, which covers concurrent
 * resends to all homes. There is no clock and no crash: a process that is never scheduled again has
 * crashed, one that is scheduled late was paused. After a put whose response is lost, the home
 * reads the slot; a late put takes effect at any later time.
 *
 * Step of the model              Function of the implementation
 *   append INTENT                  ledger_accept_call (LEDGER_JOURNAL_FIRST), journal_append
 *   put, late put                  journal_put
 *   own slot seen: durable         journal_on_present, journal_on_durable, ledger_apply
 *   seal seen: fenced              journal_on_present, journal_fence
 *   send                           the daemon, after JournalDone of the intent
 *   append NOT_SENT                ledger_abandon_call
 *   append OUTCOME                 ledger_end_call
 *   report                         LEDGER_STORED, or the end of the call in flight
 *   suspect, seal                  plan_away, homes_seal, replay_on_seal_conflict
 *   claim                          entry_claim, homes_map_change, homes_on_change
 *   adopt                          homes_adopt_group, adopt_partition, ledger_adopt_partition
 *   snapshot durable, settle       homes_on_snapshots, plan_owned
 *   leave, hand over               try_to_leave, homes_on_handoff, plan_handed
 *   clean                          homes_clean_step, clean_on_keys
 *
 * Each mutant (-D...) removes one guard. run.sh requires that Spin finds a violation in each. */

/* Bounds. run.sh checks several sets of them, since all at their maximum would take minutes. */
#ifndef MAX_INTENTS
#define MAX_INTENTS 2
#endif
#ifndef MAX_LATE
#define MAX_LATE 1
#endif
#ifndef MAX_NOT_SENT
#define MAX_NOT_SENT 1
#endif
#ifndef MAX_CLAIMS
#define MAX_CLAIMS 2
#endif
#ifndef MAX_HANDOFFS
#define MAX_HANDOFFS 1
#endif
#ifndef N_CALLS
#define N_CALLS 2
#endif

#define N_HOMES 3
#define N_SLOTS 8

/* Records. INTENT, OUTCOME and NOT_SENT of call c are the constant + c. */
#define EMPTY 0
#define INTENT 1
#define OUTCOME 3
#define NOT_SENT 5
#define HANDOFF 7
#define SEAL 8
#define SNAPSHOT 10 /* + res[0] + 3 res[1] + 9 first */

/* Outcomes. */
#define NONE 0
#define DONE 1
#define MAY_HAVE_RUN 2

/* State of a call at a home. */
#define IDLE 0
#define JOURNALED 1 /* its intent is durable */
#define SENT 2
#define CLOSING 3

/* A home's mode. */
#define AWAY 0
#define OWNED 1
#define LEAVING 2
#define HANDED 3
#define FENCED 4
#define SEALING 5
#define CLAIMING 6

byte slots[24];          /* N_HOMES * N_SLOTS */
byte map_home = 0;
byte map_epoch = 1;
byte chain[4];           /* journals to be replayed, oldest first, as home + 1 */
byte n_chain = 1;
bool planned = false;    /* the home received the partition by a hand-off */

byte late[N_HOMES];      /* record of a late put; 0: none */
byte late_slot[N_HOMES];

/* What backend servers and callers have observed. */
byte runs[2];            /* by call */
byte reported[2];        /* outcome reported to the caller, by call */
byte order[2];           /* calls + 1 in the order of their outcomes */

/* Numbers of the bounded steps so far. */
byte n_intents = 0;
byte n_late = 0;
byte n_not_sent = 0;
byte n_claims = 0;
byte n_handoffs = 0;

#define SLOT(home, n) slots[(home) * N_SLOTS + (n)]

/* Reports an outcome as soon as a home has it, which leaves the least room for another home to
 * report a different one. */
inline report (c)
{
  assert (reported[c] == NONE || reported[c] == res[c]);
  reported[c] = res[c]
}

/* Records an outcome. All homes must agree on the call that is first in the history. */
inline record_outcome (c, outcome)
{
  res[c] = outcome;
  if
  :: first == 0 -> first = c + 1
  :: else
  fi
}

inline check_order ()
{
  if
  :: first != 0 ->
     assert (order[0] == 0 || order[0] == first);
     order[0] = first
  :: else
  fi
}

/* Replays the journals of the chain in the order of their epochs. A call that stays open gets the
 * outcome MAY_HAVE_RUN. */
inline replay ()
{
  res[0] = NONE; res[1] = NONE; open[0] = false; open[1] = false; first = 0;
  i = 0;
  do
  :: i < n_chain && chain[i] != me + 1 ->
     n = 0;
     do
     :: n < N_SLOTS ->
        r = SLOT (chain[i] - 1, n);
        if
        :: r == INTENT || r == INTENT + 1 -> open[r - INTENT] = (res[r - INTENT] == NONE)
        :: r == NOT_SENT || r == NOT_SENT + 1 -> open[r - NOT_SENT] = false
        :: r == OUTCOME || r == OUTCOME + 1 ->
           open[r - OUTCOME] = false;
           if
           :: res[r - OUTCOME] == NONE -> record_outcome (r - OUTCOME, DONE)
           :: else
           fi
        :: r >= SNAPSHOT ->
           res[0] = (r - SNAPSHOT) % 3; res[1] = ((r - SNAPSHOT) / 3) % 3;
           first = (r - SNAPSHOT) / 9;
           open[0] = false; open[1] = false
        :: else
        fi;
        n++
     :: else -> break
     od;
     i++
  :: i < n_chain && chain[i] == me + 1 -> i++
  :: else -> break
  od;
  /* A planned stop interrupts no call in flight. */
  assert (!planned || (!open[0] && !open[1]));
  if
  :: open[0] -> record_outcome (0, MAY_HAVE_RUN)
  :: else
  fi;
  if
  :: open[1] -> record_outcome (1, MAY_HAVE_RUN)
  :: else
  fi;
  open[0] = false; open[1] = false; i = 0; n = 0; r = 0
}

/* The pending record is durable. */
inline apply ()
{
  if
  :: pending == INTENT || pending == INTENT + 1 ->
     phase[pending - INTENT] = JOURNALED;
     not_run_reported[pending - INTENT] = false
  :: pending == NOT_SENT || pending == NOT_SENT + 1 ->
     phase[pending - NOT_SENT] = IDLE;
     not_run_reported[pending - NOT_SENT] = true
  :: pending == OUTCOME || pending == OUTCOME + 1 ->
     phase[pending - OUTCOME] = IDLE;
     record_outcome (pending - OUTCOME, DONE);
     report (pending - OUTCOME);
     check_order ()
  :: pending == HANDOFF -> mode = HANDED
  :: pending >= SNAPSHOT -> settled = true
  fi;
  pending = 0;
  next++
}

inline send (c)
{
  runs[c]++;
  assert (runs[c] <= 1);       /* a non-idempotent call runs at most once */
  phase[c] = SENT
}

/* Performs the next step of a call at its home. */
inline serve (c)
{
#ifdef INTENT_AFTER_DISPATCH
  if
  :: phase[c] == IDLE -> send (c); n_intents++
  :: phase[c] == SENT -> pending = INTENT + c
  :: phase[c] == JOURNALED -> pending = OUTCOME + c
  fi
#else
  if
  :: phase[c] == IDLE -> pending = INTENT + c; n_intents++
  :: phase[c] == JOURNALED && n_not_sent < MAX_NOT_SENT ->
     pending = NOT_SENT + c; phase[c] = CLOSING; n_not_sent++
  :: phase[c] == SENT ->
     pending = OUTCOME + c; phase[c] = CLOSING;
#ifdef ACKNOWLEDGE_BEFORE_APPEND
     assert (reported[c] == NONE || reported[c] == DONE);
     reported[c] = DONE
#endif
  fi
#endif
}

proctype Home (byte me)
{
  /* pending: record to be appended to slot next, or 0 */
  byte mode = AWAY, epoch = 0, next = 0, pending = 0, first = 0;
  byte phase[2], res[2];
  bool open[2], settled = false;
  bool not_run_reported[2]; /* of this home's last attempt; another home's may still run */
  byte former = 0, seen_epoch = 0, i = 0, n = 0, r = 0;

  do
  /* Appends to the journal. */
  :: atomic { pending != 0 && SLOT (me, next) == EMPTY -> SLOT (me, next) = pending }
  :: atomic { pending != 0 && late[me] == 0 && n_late < MAX_LATE ->
              late[me] = pending; late_slot[me] = next; n_late++ }
  :: atomic { pending != 0 && SLOT (me, next) != EMPTY && SLOT (me, next) != SEAL -> apply () }
  :: atomic { pending != 0 && SLOT (me, next) == SEAL ->
              /* This home's attempt was not sent and never will be: the home may report so. */
              if
              :: pending == INTENT || pending == INTENT + 1 ->
#ifdef INTENT_AFTER_DISPATCH
                 assert (runs[pending - INTENT] == 0)
#else
                 skip
#endif
              :: else
              fi;
              pending = 0; settled = false; res[0] = NONE; res[1] = NONE; first = 0;
              if :: phase[0] != JOURNALED -> phase[0] = IDLE :: else fi;
              if :: phase[1] != JOURNALED -> phase[1] = IDLE :: else fi;
              mode = FENCED }

  /* Calls. */
  :: atomic { mode == OWNED && pending == 0 && next < N_SLOTS - 2 && res[0] == NONE &&
              (phase[0] != IDLE || n_intents < MAX_INTENTS) -> serve (0) }
  :: atomic { N_CALLS == 2 && mode == OWNED && pending == 0 && next < N_SLOTS - 2 &&
              res[1] == NONE && (phase[1] != IDLE || n_intents < MAX_INTENTS) -> serve (1) }
#ifndef INTENT_AFTER_DISPATCH
  /* Also sends when it has been fenced: a paused home has not noticed yet. */
  :: atomic { phase[0] == JOURNALED -> assert (!not_run_reported[0]); send (0) }
  :: atomic { phase[1] == JOURNALED -> assert (!not_run_reported[1]); send (1) }
#endif

  /* Takeover. */
  :: atomic { mode == AWAY && map_home != me && n_claims < MAX_CLAIMS && next == 0 ->
              former = map_home; seen_epoch = map_epoch; n = 0; n_claims++;
#ifdef READ_BEFORE_SEAL
              replay ();
#endif
              mode = SEALING }
  /* Skipping records and finding another's seal are one step with the put, since a slot that is
     written does not change. */
  :: atomic { mode == SEALING ->
              do
              :: SLOT (former, n) != EMPTY && SLOT (former, n) != SEAL -> n++
              :: SLOT (former, n) == EMPTY -> SLOT (former, n) = SEAL; break
              :: SLOT (former, n) == SEAL -> break
              od;
              n = 0; mode = CLAIMING }
  :: atomic { mode == CLAIMING ->
              if
#ifdef LOWER_EPOCH_ACCEPTED
              :: true ->
                 n_chain = 1; chain[0] = former + 1;
                 map_epoch = seen_epoch + 1;
#else
              :: map_epoch == seen_epoch -> map_epoch++;
#endif
                 map_home = me; planned = false;
                 chain[n_chain] = me + 1; n_chain++
              :: else
              fi;
#ifndef READ_BEFORE_SEAL
              former = 0; seen_epoch = 0;
#endif
              mode = AWAY }
  :: atomic { mode == AWAY && map_home == me && epoch != map_epoch ->
#ifdef READ_BEFORE_SEAL
              if
              :: seen_epoch == 0 -> replay ()
              :: else
              fi;
#else
              replay ();
#endif
              /* No outcome that was reported is missing. */
              assert (reported[0] == NONE || reported[0] == res[0]);
              assert (reported[1] == NONE || reported[1] == res[1]);
              if :: res[0] != NONE -> report (0) :: else fi;
              if :: res[1] != NONE -> report (1) :: else fi;
              check_order ();
              former = 0; seen_epoch = 0;
              epoch = map_epoch; phase[0] = IDLE; phase[1] = IDLE; mode = OWNED;
              pending = SNAPSHOT + res[0] + 3 * res[1] + 9 * first;
#ifdef MAP_BEFORE_SNAPSHOT
              settled = true
#endif
            }
  :: atomic { mode == OWNED && settled ->
              settled = false;
              if
              :: map_home == me && map_epoch == epoch ->
                 chain[0] = me + 1; chain[1] = 0; chain[2] = 0; chain[3] = 0; n_chain = 1
              :: else
              fi }

  /* Hand-off. */
#ifdef HANDOFF_BEFORE_DURABLE
  :: atomic { mode == OWNED && n_handoffs < MAX_HANDOFFS && me + 1 < N_HOMES &&
              phase[0] != JOURNALED && phase[0] != SENT &&
              phase[1] != JOURNALED && phase[1] != SENT ->
              mode = HANDED; n_handoffs++ }
#else
  :: atomic { mode == OWNED && pending == 0 && n_handoffs < MAX_HANDOFFS &&
#ifndef HANDOFF_WHILE_IN_FLIGHT
              phase[0] == IDLE && phase[1] == IDLE &&
#endif
              me + 1 < N_HOMES -> pending = HANDOFF; mode = LEAVING; n_handoffs++ }
#endif
  :: atomic { mode == HANDED ->
              if
              :: map_home == me && map_epoch == epoch ->
                 map_home = me + 1; map_epoch++; planned = true; chain[n_chain] = me + 2; n_chain++
              :: else
              fi;
              mode = FENCED /* it accepts no more calls in this model */ }
  od
}

/* Late puts take effect. */
proctype Network ()
{
  byte h;
  do
  :: atomic { late[0] != 0 -> h = 0;
              if :: SLOT (h, late_slot[h]) == EMPTY -> SLOT (h, late_slot[h]) = late[h] :: else fi;
              late[h] = 0; late_slot[h] = 0 }
  :: atomic { late[1] != 0 -> h = 1;
              if :: SLOT (h, late_slot[h]) == EMPTY -> SLOT (h, late_slot[h]) = late[h] :: else fi;
              late[h] = 0; late_slot[h] = 0; h = 0 }
  od
}

/* Deletes the slots of journals that are not replayed any more, except for the seal: a writer that
 * was paused before the seal could otherwise create its slot again and treat the record as durable.
 */
proctype Cleaner ()
{
  byte j = 0, n = 0;
  do
  :: atomic { j < N_HOMES && n_chain == 1 && chain[0] != j + 1 && map_home != j ->
              do
              :: SLOT (j, n) != EMPTY && SLOT (j, n) != SEAL -> SLOT (j, n) = EMPTY; n++
              :: else -> break
              od;
#ifdef SEAL_DELETED
              SLOT (j, n) = EMPTY;
#endif
              n = 0; j++ }
  :: atomic { j < N_HOMES - 1 -> j++ }
  od
}

init
{
  atomic
  {
    chain[0] = 1;
    run Home (0); run Home (1); run Home (2);
    run Network (); run Cleaner ()
  }
}
