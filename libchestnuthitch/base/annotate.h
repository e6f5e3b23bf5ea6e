#ifndef CH_BASE_ANNOTATE_H
#define CH_BASE_ANNOTATE_H

/*
 * ThreadSanitizer doesn't see the inline assembly of Concurrency Kit.  Where
 * an atomic operation of Concurrency Kit passes memory from one thread to
 * another, these macros tell ThreadSanitizer so; in other builds they do
 * nothing.
 */

#if defined(__has_feature)
#if __has_feature(thread_sanitizer)
#include <sanitizer/tsan_interface.h>
#define CH_TSAN_RELEASE(address) __tsan_release((void *)(address))
#define CH_TSAN_ACQUIRE(address) __tsan_acquire((void *)(address))
#endif
#endif

#ifndef CH_TSAN_RELEASE
#define CH_TSAN_RELEASE(address) ((void)(address))
#define CH_TSAN_ACQUIRE(address) ((void)(address))
#endif

#endif
