/* ThreadSanitizer annotations: it cannot see that liburcu orders memory with inline assembly.
 *
 * A release and a later acquire on the same address declare the ordering that the queue or flag
 * between them provides. Other builds generate no code. */
#pragma once

#ifdef __SANITIZE_THREAD__
void
__tsan_acquire (void *address);
void
__tsan_release (void *address);
#define TSAN_ACQUIRE(address) __tsan_acquire ((void *)(address))
#define TSAN_RELEASE(address) __tsan_release ((void *)(address))
#else
#define TSAN_ACQUIRE(address) ((void)0)
#define TSAN_RELEASE(address) ((void)0)
#endif
