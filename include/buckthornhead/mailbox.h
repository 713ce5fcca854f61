/* Mailbox: how other threads hand work to the thread that runs an event loop.
 *
 * Posting is wait-free but for one wake-up write when the box was empty; the loop's thread takes
 * all that waits at once. Built on liburcu's wait-free queue. */
#pragma once

#include <stdint.h>

#include <talloc.h>
#include <tevent.h>
#include <urcu/wfcqueue.h>

enum MailKind
{
  MAIL_CALLER_REQUEST, /* to the core: a caller's request is complete */
  MAIL_CALLER_GONE,    /* to the core: its connection closed */
  MAIL_BACKEND_CHUNK,  /* to the core: struct BackendMail */
  MAIL_BACKEND_END,    /* to the core: struct BackendMail */
  MAIL_BACKEND_SUBMIT, /* to a backend thread */
  MAIL_BACKEND_CANCEL, /* to a backend thread */
  MAIL_DISK_DURABLE,   /* to the loop of a disk log: struct DiskMail */
  MAIL_STOP
};

/* First member of every message; a message is a talloc object without a parent, and belongs to
 * the receiver from mailbox_post on. */
struct Mail
{
  struct cds_wfcq_node node;
  enum MailKind kind;
};

struct Mailbox;

typedef void (*MailFn) (void *data, struct Mail *mail);

struct Mailbox *
mailbox_new (TALLOC_CTX *ctx, struct tevent_context *events, MailFn receive, void *data);

/* From any thread. */
void
mailbox_post (struct Mailbox *mailbox, struct Mail *mail);
