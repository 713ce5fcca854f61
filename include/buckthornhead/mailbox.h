/* Mailbox: passes messages from other threads to the thread that runs an event loop.
 *
 * Posting is wait-free, except for one wake-up write when the mailbox was empty; the loop's thread
 * takes all queued messages at once. Built on liburcu's wait-free queue. */
#pragma once

#include <stdint.h>

#include <talloc.h>
#include <tevent.h>
#include <urcu/wfcqueue.h>

enum MailKind
{
  MAIL_CALLER_REQUEST,      /* to the core: a caller's request is complete */
  MAIL_CALLER_DISCONNECTED, /* to the core: the caller's connection closed */
  MAIL_BACKEND_CHUNK,       /* to the core: struct BackendMail */
  MAIL_BACKEND_END,         /* to the core: struct BackendMail */
  MAIL_BACKEND_SUBMIT,      /* to a backend thread */
  MAIL_BACKEND_CANCEL,      /* to a backend thread */
  MAIL_DISK_DONE,           /* to a disk log's loop: struct DiskWrite */
  MAIL_STOP
};

/* First member of every message. A message is a talloc object without a parent; mailbox_post passes
 * its ownership to the receiver. */
struct Mail
{
  struct cds_wfcq_node node;
  enum MailKind kind;
};

struct Mailbox;

typedef void (*MailFn) (void *data, struct Mail *mail);

struct Mailbox *
mailbox_new (TALLOC_CTX *ctx, struct tevent_context *events, MailFn receive, void *data);

/* Queues mail for the mailbox's loop. May be called from any thread. */
void
mailbox_post (struct Mailbox *mailbox, struct Mail *mail);
