#include <buckthornhead/mailbox.h>

#include <buckthornhead/tsan.h>

#include <sys/eventfd.h>
#include <unistd.h>

struct Mailbox
{
  struct cds_wfcq_head head;
  struct cds_wfcq_tail tail;
  int wake_fd;
  MailFn receive;
  void *data;
};

static void
mailbox_on_wake (struct tevent_context *events, struct tevent_fd *watch, uint16_t flags, void *data)
{
  struct Mailbox *mailbox = data;
  struct cds_wfcq_head head;
  struct cds_wfcq_tail tail;
  struct cds_wfcq_node *node, *next;
  uint64_t count;
  ssize_t n_read;

  (void)events;
  (void)watch;
  (void)flags;
  n_read = read (mailbox->wake_fd, &count, sizeof count);
  (void)n_read;
  cds_wfcq_init (&head, &tail);
  __cds_wfcq_splice_blocking (&head, &tail, &mailbox->head, &mailbox->tail);
  __cds_wfcq_for_each_blocking_safe (&head, &tail, node, next)
  {
    struct Mail *mail = caa_container_of (node, struct Mail, node);

    TSAN_ACQUIRE (mail);
    mailbox->receive (mailbox->data, mail);
  }
}

static int
mailbox_free (struct Mailbox *mailbox)
{
  close (mailbox->wake_fd);
  return 0;
}

struct Mailbox *
mailbox_new (TALLOC_CTX *ctx, struct tevent_context *events, MailFn receive, void *data)
{
  struct Mailbox *mailbox = talloc_zero (ctx, struct Mailbox);

  if (mailbox == NULL)
    return NULL;
  cds_wfcq_init (&mailbox->head, &mailbox->tail);
  mailbox->receive = receive;
  mailbox->data = data;
  mailbox->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (mailbox->wake_fd < 0)
    {
      talloc_free (mailbox);
      return NULL;
    }
  talloc_set_destructor (mailbox, mailbox_free);
  if (tevent_add_fd (events, mailbox, mailbox->wake_fd, TEVENT_FD_READ, mailbox_on_wake, mailbox)
      == NULL)
    TALLOC_FREE (mailbox);
  return mailbox;
}

void
mailbox_post (struct Mailbox *mailbox, struct Mail *mail)
{
  const uint64_t one = 1;
  ssize_t n_written;

  cds_wfcq_node_init (&mail->node);
  TSAN_RELEASE (mail);
  /* If the queue was not empty, a wake-up is already pending: the reader resets the counter before
   * it takes the queue, so the thread that next finds the queue empty writes a new wake-up. */
  if (cds_wfcq_enqueue (&mailbox->head, &mailbox->tail, &mail->node))
    return;
  n_written = write (mailbox->wake_fd, &one, sizeof one);
  (void)n_written;
}
