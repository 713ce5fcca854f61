/* Spin model of limits by leases: granting, use, loss, start and change of owner.
 *
 * Time passes in ticks. An owner's bucket is refilled by one token a tick, up to CAPACITY. A token
 * is used in the tick of its grant or in the next one, when its lease ends. It can also be lost with
 * its message, or be returned, and the return can be lost. An owner can fail, with or without a
 * successor that grants while the failed one still does: for OVERLAP ticks at most, the time that it
 * takes until all gateways know of a change. All gateways can stop, too: the buckets are lost.
 *
 * Step of the model              Function of the implementation
 *   grant                          quota_owner_decide
 *   use                            quota_leases_take, exchange_apply
 *   lose, return                   exchange_return, quota_owner_return
 *   start                          quota_owner_new, quota_owner_empty
 *   change of owner                quota_members_owners, quota_owner_take_over
 *   tick                           customer_refill, the end of a lease
 *
 * A token whose request did not run is returned. While it was away the bucket could be refilled in its
 * place, so that returns make more tokens than the bucket can hold: the owner adds RETURNS of them in
 * a window at most.
 *
 * The mutant FULL_AT_START begins with full buckets, ANY_RETURN adds each returned token. run.sh
 * requires that Spin finds a violation in each. */

#ifndef CAPACITY
#define CAPACITY 3
#endif
#ifndef WINDOW
#define WINDOW 4 /* ticks */
#endif
#ifndef MAX_CHANGES
#define MAX_CHANGES 3
#endif
#ifndef MAX_OVERLAPS
#define MAX_OVERLAPS 1
#endif
#define TICKS 12
#define OVERLAP 1
#define ALLOWANCE 1 /* returned tokens that are added, once and again after each WINDOW ticks */
#define RETURNS (2 * ALLOWANCE)
#define LEASE 1 /* ticks after that of the grant in which a token may be used */

/* The tokens that a window can contain: those of the bucket at its begin, the refill, that of the
 * ticks before it in which its first tokens were granted, that of a second owner, and the returned
 * ones. */
#define BOUND (CAPACITY + WINDOW + LEASE + OVERLAP * MAX_OVERLAPS + RETURNS)

#ifdef FULL_AT_START
#define AT_START CAPACITY
#else
#define AT_START 0
#endif

byte bucket[2] = AT_START;
bool owns[2];
byte fresh, old;        /* granted tokens that may be used, of this tick and of the last one */
byte used[WINDOW];      /* in each tick of the window */
byte n_used;            /* in the window */
byte tick, n_changes, n_overlaps;
byte allowance = ALLOWANCE;

inline grant (i)
{
  bucket[i]--;
  fresh++
}

inline use ()
{
  used[tick % WINDOW]++;
  n_used++;
  assert (n_used <= BOUND)
}

inline add_returned ()
{
  if
  :: owns[0] && bucket[0] < CAPACITY -> bucket[0]++
  :: owns[1] && bucket[1] < CAPACITY -> bucket[1]++
  :: true /* the return is lost */
  fi
}

inline give_back ()
{
#ifdef ANY_RETURN
  add_returned ()
#else
  if
  :: allowance > 0 -> allowance--; add_returned ()
  :: else
  fi
#endif
}

inline change_owner (from, to)
{
  n_changes++;
  owns[to] = true;
  bucket[to] = AT_START;
  if
  :: owns[from] = false
  :: n_overlaps < MAX_OVERLAPS -> n_overlaps++ /* until the end of the tick */
  fi
}

/* Two owners end with the tick: the one that was asked first stops. */
inline end_overlap ()
{
  if
  :: owns[0] && owns[1] -> if :: owns[0] = false :: owns[1] = false fi
  :: else
  fi
}

inline refill (i)
{
  if
  :: owns[i] && bucket[i] < CAPACITY -> bucket[i]++
  :: else
  fi
}

active proctype gateways ()
{
  owns[0] = true;
  do
  :: atomic { owns[0] && bucket[0] > 0 -> grant (0) }
  :: atomic { owns[1] && bucket[1] > 0 -> grant (1) }
  :: atomic { fresh > 0 -> fresh--; use () }
  :: atomic { old > 0 -> old--; use () }
  :: atomic { fresh > 0 -> fresh--; give_back () }
  :: atomic { old > 0 -> old--; give_back () }
  :: atomic { n_changes < MAX_CHANGES && owns[0] && !owns[1] -> change_owner (0, 1) }
  :: atomic { n_changes < MAX_CHANGES && owns[1] && !owns[0] -> change_owner (1, 0) }
  :: atomic { n_changes < MAX_CHANGES -> /* all gateways stop and start */
       n_changes++;
            bucket[0] = AT_START;
       bucket[1] = AT_START }
  :: atomic { tick < TICKS ->
       end_overlap ();
       refill (0);
       refill (1);
       old = fresh;
       fresh = 0;
       tick++;
       if :: tick % WINDOW == 0 -> allowance = ALLOWANCE :: else fi;
       n_used = n_used - used[tick % WINDOW];
       used[tick % WINDOW] = 0 }
  :: tick == TICKS -> break
  od
}
