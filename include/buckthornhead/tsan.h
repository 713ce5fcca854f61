/* What ThreadSanitizer can not see: liburcu orders memory with inline assembly.
 *
 * A release and an acquire on the same address tell it of the order that the queue or the flag in
 * between makes. Nothing is generated in other builds. */
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
