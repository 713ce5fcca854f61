#include <buckthornhead/peer_net.h>

#include <buckthornhead/acceptor.h>
#include <buckthornhead/counter.h>
#include <buckthornhead/held_memory.h>
#include <buckthornhead/log.h>
#include <buckthornhead/net_socket.h>
#include <buckthornhead/settings.h>

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uthash.h>

enum
{
  FRAME_LENGTH_BYTES = 4,
  READ_CHUNK_BYTES = 64 * 1024,
  DIAL_RETRY_MS = 200,
  /* A dialled link that is not connected after this time is closed and dialled anew. The kernel
   * retransmits a lost SYN only after 1, 2 and 4 s, so a link dialled during a network partition of
   * some seconds would connect that much later. Well above a round trip between regions. */
  DIAL_TIMEOUT_MS = 500,
  /* TCP_USER_TIMEOUT: the kernel closes a link whose sent bytes are not acknowledged for this long.
   * Longer than a pause of the other process; heartbeats detect peers that send nothing. */
  USER_TIMEOUT_MS = 10 * 1000,
  WRITE_QUEUE_MAX_BYTES = 64 * 1024 * 1024, /* unless the options set it */
  COUNTED_FRAME_BYTES = 4096                /* frames of at least this size count as held memory */
};

/* A frame queued for sending. */
struct PeerFrame
{
  struct PeerFrame *next;
  uint8_t *bytes;
  size_t n_bytes, n_written;
};

struct PeerEntry;

struct PeerLink
{
  struct PeerNet *net;
  struct PeerEntry *peer; /* peer that was dialled; NULL: accepted link, or peer removed since */
  uint64_t id;
  int fd;
  bool dialled, connected;
  int64_t dialled_ms;
  char instance[NAME_MAX_BYTES + 1]; /* "" until an accepted link has sent its hello */
  struct tevent_fd *watch;
  uint8_t *input;
  size_t input_bytes, input_size;
  struct PeerFrame *first, **last;
  size_t queued_bytes;
  UT_hash_handle hh; /* in PeerNet.links */
};

/* Another instance, by its name and address in the membership. */
struct PeerEntry
{
  char instance[NAME_MAX_BYTES + 1];
  char address[ADDRESS_MAX_BYTES + 1];
  struct PeerLink *link; /* NULL while not dialled */
  uint32_t n_refused;    /* consecutive refused dial attempts */
  int64_t dialled_ms;    /* time of the last dial */
  int64_t used_ms;       /* time of the last peer_net_link_to */
  UT_hash_handle hh;     /* in PeerNet.peers */
};

/* A message queued for delivery to the own instance. */
struct PeerLocal
{
  struct PeerNet *net;
  struct PeerMessage *message;
};

struct PeerNet
{
  struct tevent_context *events;
  struct TimerService *timers;
  struct PeerNetOptions options;
  char instance[NAME_MAX_BYTES + 1];
  char incarnation[INCARNATION_MAX_BYTES + 1];
  int listen_fd;
  struct Acceptor *acceptor;
  uint64_t next_link;
  struct PeerLink *links;  /* by id */
  struct PeerEntry *peers; /* by instance */
  uint8_t *scratch; /* READ_CHUNK_BYTES: received bytes, unless an incomplete frame is buffered */
};

static void
peer_link_close (struct PeerLink *link, const char *cause);

static int
peer_link_free (struct PeerLink *link)
{
  HASH_DEL (link->net->links, link);
  if (link->peer != NULL)
    link->peer->link = NULL;
  TALLOC_FREE (link->watch);
  if (link->fd >= 0)
    close (link->fd);
  return 0;
}

static struct PeerLink *
peer_net_find_link (const struct PeerNet *net, uint64_t id)
{
  struct PeerLink *link;

  HASH_FIND (hh, net->links, &id, sizeof id, link);
  return link;
}

static struct PeerEntry *
peer_net_find_peer (const struct PeerNet *net, const char *instance)
{
  struct PeerEntry *peer;

  HASH_FIND_STR (net->peers, instance, peer);
  return peer;
}

static void
peer_link_flush (struct PeerLink *link)
{
  while (link->first != NULL)
    {
      struct PeerFrame *frame = link->first;
      ssize_t n = send (link->fd, frame->bytes + frame->n_written,
                        frame->n_bytes - frame->n_written, MSG_NOSIGNAL | MSG_DONTWAIT);

      if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
        break;
      if (n < 0)
        {
          /* The read handler gets the end of the stream and closes the link; closing it here would
           * free it while the caller is still sending. */
          shutdown (link->fd, SHUT_RDWR);
          return;
        }
      frame->n_written += (size_t)n;
      link->queued_bytes -= (size_t)n;
      if (frame->n_written < frame->n_bytes)
        break;
      link->first = frame->next;
      if (link->first == NULL)
        link->last = &link->first;
      talloc_free (frame);
    }
  tevent_fd_set_flags (link->watch, TEVENT_FD_READ | (link->first != NULL ? TEVENT_FD_WRITE : 0));
}

static int32_t
peer_link_send (struct PeerLink *link, const struct PeerMessage *message)
{
  struct PeerFrame *frame;
  int32_t error;

  if (link->queued_bytes > link->net->options.queue_max_bytes)
    return ERROR_UNREACHABLE;
  frame = talloc_zero (link, struct PeerFrame);
  if (frame == NULL)
    return ERROR_NO_MEMORY;
  error = peer_message_pack (frame, message, &frame->bytes, &frame->n_bytes);
  if (error == ERROR_NONE && frame->n_bytes >= COUNTED_FRAME_BYTES
      && !held_memory_charge (frame, frame->n_bytes))
    error = ERROR_NO_MEMORY;
  if (error != ERROR_NONE)
    {
      talloc_free (frame);
      return error;
    }
  *link->last = frame;
  link->last = &frame->next;
  link->queued_bytes += frame->n_bytes;
  counter_add (COUNTER_PEER_MESSAGES, 1);
  counter_add (COUNTER_PEER_BYTES, frame->n_bytes);
  if (link->connected && link->first == frame)
    peer_link_flush (link);
  return ERROR_NONE;
}

static void
peer_link_send_hello (struct PeerLink *link)
{
  struct PeerMessage hello = { .kind = PEER_HELLO };

  snprintf (hello.hello.instance, sizeof hello.hello.instance, "%s", link->net->instance);
  snprintf (hello.hello.incarnation, sizeof hello.hello.incarnation, "%s", link->net->incarnation);
  snprintf (hello.hello.zone, sizeof hello.hello.zone, "%s", link->net->options.zone);
  peer_link_send (link, &hello);
}

/* Lets the peer be dialled at once: it runs, however recently a dial has failed. */
static void
peer_net_allow_dial (struct PeerNet *net, const char *instance)
{
  struct PeerEntry *peer = peer_net_find_peer (net, instance);

  if (peer != NULL)
    peer->dialled_ms = 0;
}

/* Delivers one frame. Returns false when it is malformed. */
static bool
peer_link_deliver_frame (struct PeerLink *link, const uint8_t *bytes, size_t n_bytes)
{
  struct PeerNet *net = link->net;
  struct PeerMessage *message;

  if (peer_message_unpack (NULL, bytes, n_bytes, &message) != ERROR_NONE)
    return false;
  if (message->kind == PEER_HELLO)
    {
      snprintf (link->instance, sizeof link->instance, "%s", message->hello.instance);
      peer_net_allow_dial (net, link->instance);
    }
  net->options.received (net->options.data, link->id, link->instance, message);
  talloc_free (message);
  return true;
}

/* Delivers the whole frames at the start of bytes. Returns their length, or -1 when the link must
 * be closed. */
static ssize_t
peer_link_deliver_frames (struct PeerLink *link, const uint8_t *bytes, size_t n_bytes)
{
  size_t at = 0;

  while (n_bytes - at >= FRAME_LENGTH_BYTES)
    {
      const uint8_t *head = bytes + at;
      size_t frame_bytes =
          (size_t)head[0] << 24 | (size_t)head[1] << 16 | (size_t)head[2] << 8 | head[3];

      if (frame_bytes > PEER_FRAME_MAX_BYTES)
        return -1;
      if (n_bytes - at - FRAME_LENGTH_BYTES < frame_bytes)
        break;
      if (!peer_link_deliver_frame (link, head + FRAME_LENGTH_BYTES, frame_bytes))
        return -1;
      at += FRAME_LENGTH_BYTES + frame_bytes;
    }
  return (ssize_t)at;
}

/* Buffers an incomplete frame. A link without one holds no buffer: 64 KB for each of 400 links
 * filled the memory of a small instance. */
static bool
peer_link_buffer_input (struct PeerLink *link, const uint8_t *bytes, size_t n_bytes)
{
  size_t total_bytes = link->input_bytes + n_bytes;

  if (total_bytes > link->input_size)
    {
      link->input_size = 2 * total_bytes;
      link->input = talloc_realloc (link, link->input, uint8_t, link->input_size);
      if (link->input == NULL)
        return false;
    }
  memcpy (link->input + link->input_bytes, bytes, n_bytes);
  link->input_bytes = total_bytes;
  return true;
}

static void
peer_link_consume_input (struct PeerLink *link, size_t n_delivered)
{
  link->input_bytes -= n_delivered;
  if (link->input_bytes > 0)
    {
      memmove (link->input, link->input + n_delivered, link->input_bytes);
      return;
    }
  TALLOC_FREE (link->input);
  link->input_size = 0;
}

/* Reads the available bytes and delivers whole frames. Returns false when the link must be closed.
 */
static bool
peer_link_read (struct PeerLink *link)
{
  uint8_t *scratch = link->net->scratch;
  ssize_t n = recv (link->fd, scratch, READ_CHUNK_BYTES, MSG_DONTWAIT), n_delivered;

  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
    return true;
  if (n <= 0)
    return false;
  if (link->input_bytes == 0)
    {
      n_delivered = peer_link_deliver_frames (link, scratch, (size_t)n);
      if (n_delivered < 0)
        return false;
      return n_delivered == n
             || peer_link_buffer_input (link, scratch + n_delivered, (size_t)(n - n_delivered));
    }
  if (!peer_link_buffer_input (link, scratch, (size_t)n))
    return false;
  n_delivered = peer_link_deliver_frames (link, link->input, link->input_bytes);
  if (n_delivered < 0)
    return false;
  peer_link_consume_input (link, (size_t)n_delivered);
  return true;
}

static void
peer_link_report_refused (struct PeerLink *link, bool refused)
{
  const struct PeerNetOptions *options = &link->net->options;
  struct PeerEntry *peer = link->peer;

  if (peer == NULL || (!refused && peer->n_refused == 0))
    return;
  peer->n_refused = refused ? peer->n_refused + 1 : 0;
  options->connect_refused (options->data, peer->instance, peer->n_refused);
}

static bool
peer_link_finish_connect (struct PeerLink *link)
{
  int error = net_connect_error (link->fd);

  if (error == 0)
    {
      link->connected = true;
      peer_link_report_refused (link, false);
      if (link->net->options.connected != NULL)
        link->net->options.connected (link->net->options.data, link->instance);
    }
  else if (error == ECONNREFUSED)
    peer_link_report_refused (link, true);
  return error == 0;
}

static void
peer_link_on_event (struct tevent_context *events,
                    struct tevent_fd *watch,
                    uint16_t flags,
                    void *data)
{
  struct PeerLink *link = data;

  (void)events;
  (void)watch;
  if (!link->connected && !peer_link_finish_connect (link))
    {
      peer_link_close (link, "connection refused");
      return;
    }
  if (flags & TEVENT_FD_WRITE)
    peer_link_flush (link);
  if ((flags & TEVENT_FD_READ) && !peer_link_read (link))
    peer_link_close (link, "connection closed");
}

static void
peer_link_close (struct PeerLink *link, const char *cause)
{
  struct PeerNet *net = link->net;
  uint64_t id = link->id;
  bool was_connected = link->connected;
  char instance[NAME_MAX_BYTES + 1];

  snprintf (instance, sizeof instance, "%s", link->instance);
  talloc_free (link);
  if (!was_connected)
    return;
  log_event (LOG_LEVEL_INFO, "peer_link_closed", NULL, NULL, "%s: %s", instance, cause);
  net->options.closed (net->options.data, id, instance);
}

static struct PeerLink *
peer_link_new (struct PeerNet *net, int fd, bool dialled)
{
  struct PeerLink *link = talloc_zero (net, struct PeerLink);

  if (link == NULL)
    return NULL;
  link->net = net;
  link->fd = fd;
  link->dialled = dialled;
  link->connected = !dialled;
  link->id = net->next_link++;
  link->last = &link->first;
  HASH_ADD (hh, net->links, id, sizeof link->id, link);
  talloc_set_destructor (link, peer_link_free);
  link->watch = tevent_add_fd (net->events, link, fd, TEVENT_FD_READ | TEVENT_FD_WRITE,
                               peer_link_on_event, link);
  return link;
}

static void
peer_net_dial (struct PeerNet *net, struct PeerEntry *peer)
{
  int fd = net_connect (peer->address, USER_TIMEOUT_MS);

  peer->dialled_ms = timer_now_ms (net->timers);
  if (fd < 0)
    return;
  peer->link = peer_link_new (net, fd, true);
  if (peer->link == NULL)
    {
      close (fd);
      return;
    }
  peer->link->peer = peer;
  peer->link->dialled_ms = timer_now_ms (net->timers);
  snprintf (peer->link->instance, sizeof peer->link->instance, "%s", peer->instance);
  peer_link_send_hello (peer->link);
}

static void
peer_net_on_tick (void *data)
{
  struct PeerNet *net = data;

  int64_t now_ms = timer_now_ms (net->timers);
  bool on_demand = net->options.dial_on_demand;

  for (struct PeerEntry *p = net->peers; p != NULL; p = p->hh.next)
    {
      if (p->link != NULL && !p->link->connected && now_ms - p->link->dialled_ms >= DIAL_TIMEOUT_MS)
        peer_link_close (p->link, "connection timed out");
      else if (p->link != NULL && on_demand && now_ms - p->used_ms >= PEER_LINK_IDLE_MS)
        peer_link_close (p->link, "idle");
      if (p->link == NULL && !on_demand)
        peer_net_dial (net, p);
    }
}

static void
peer_net_on_accept (void *data, int fd)
{
  if (peer_link_new (data, fd, false) == NULL)
    close (fd);
}

static int
peer_net_free (struct PeerNet *net)
{
  while (net->links != NULL)
    talloc_free (net->links);
  HASH_CLEAR (hh, net->peers);
  TALLOC_FREE (net->acceptor);
  if (net->listen_fd >= 0)
    close (net->listen_fd);
  return 0;
}

struct PeerNet *
peer_net_new (TALLOC_CTX *ctx,
              struct tevent_context *events,
              struct TimerService *timers,
              const struct PeerNetOptions *options)
{
  struct PeerNet *net = talloc_zero (ctx, struct PeerNet);

  if (net == NULL)
    return NULL;
  net->events = events;
  net->timers = timers;
  net->options = *options;
  if (net->options.queue_max_bytes == 0)
    net->options.queue_max_bytes = WRITE_QUEUE_MAX_BYTES;
  net->listen_fd = -1;
  net->scratch = talloc_size (net, READ_CHUNK_BYTES);
  if (net->scratch == NULL)
    TALLOC_FREE (net);
  if (net == NULL)
    return NULL;
  net->next_link = PEER_LINK_SELF + 1;
  snprintf (net->instance, sizeof net->instance, "%s", options->instance);
  talloc_set_destructor (net, peer_net_free);
  timer_subscribe (net, timers, DIAL_RETRY_MS, DIAL_RETRY_MS, peer_net_on_tick, net);
  return net;
}

int32_t
peer_net_listen (struct PeerNet *net, struct Fault *fault)
{
  int32_t error = net_listen (net->options.listen, "[listen] peer", &net->listen_fd, fault);

  if (error != ERROR_NONE)
    return error;
  net->acceptor =
      acceptor_new (net, net->events, net->timers, net->listen_fd, peer_net_on_accept, net);
  if (net->acceptor == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "no memory for the peers' listener");
  return ERROR_NONE;
}

void
peer_net_set_incarnation (struct PeerNet *net, const char *incarnation)
{
  snprintf (net->incarnation, sizeof net->incarnation, "%s", incarnation);
  for (struct PeerLink *l = net->links; l != NULL; l = l->hh.next)
    if (l->dialled)
      peer_link_send_hello (l);
}

void
peer_net_set_address (struct PeerNet *net, const char *instance, const char *address)
{
  struct PeerEntry *peer = peer_net_find_peer (net, instance);

  if (strcmp (instance, net->instance) == 0)
    return;
  if (peer == NULL)
    {
      peer = talloc_zero (net, struct PeerEntry);
      if (peer == NULL)
        return;
      snprintf (peer->instance, sizeof peer->instance, "%s", instance);
      HASH_ADD_STR (net->peers, instance, peer);
    }
  if (strcmp (peer->address, address) == 0)
    return;
  snprintf (peer->address, sizeof peer->address, "%s", address);
  peer->dialled_ms = 0;
  if (peer->link != NULL)
    peer_link_close (peer->link, "the address of the instance has changed");
  if (!net->options.dial_on_demand)
    peer_net_dial (net, peer);
}

void
peer_net_remove (struct PeerNet *net, const char *instance)
{
  struct PeerEntry *peer = peer_net_find_peer (net, instance);

  if (peer == NULL)
    return;
  HASH_DEL (net->peers, peer);
  /* The link stays open until it closes by itself: an instance that leaves still responds over it.
   */
  if (peer->link != NULL)
    peer->link->peer = NULL;
  talloc_free (peer);
}

void
peer_net_reset_link (struct PeerNet *net, const char *instance)
{
  struct PeerEntry *peer = peer_net_find_peer (net, instance);

  if (peer != NULL && peer->link != NULL)
    peer_link_close (peer->link, "no response from the instance");
}

uint64_t
peer_net_link_to (struct PeerNet *net, const char *instance)
{
  bool on_demand = net->options.dial_on_demand;
  struct PeerEntry *peer;
  int64_t now_ms;

  if (strcmp (instance, net->instance) == 0)
    return PEER_LINK_SELF;
  peer = peer_net_find_peer (net, instance);
  if (peer == NULL)
    return PEER_LINK_NONE;
  now_ms = timer_now_ms (net->timers);
  peer->used_ms = now_ms;
  if (peer->link == NULL && on_demand
      && (peer->dialled_ms == 0 || now_ms - peer->dialled_ms >= DIAL_RETRY_MS))
    peer_net_dial (net, peer);
  if (peer->link == NULL || !(peer->link->connected || on_demand))
    return PEER_LINK_NONE;
  return peer->link->id;
}

bool
peer_net_has_link (const struct PeerNet *net, const char *instance)
{
  const struct PeerEntry *peer = peer_net_find_peer (net, instance);

  return peer != NULL && peer->link != NULL;
}

bool
peer_net_is_dialled (const struct PeerNet *net, uint64_t link_id)
{
  const struct PeerLink *link = peer_net_find_link (net, link_id);

  return link != NULL && link->dialled;
}

size_t
peer_net_queued_bytes (const struct PeerNet *net, uint64_t link_id)
{
  const struct PeerLink *link = peer_net_find_link (net, link_id);

  return link != NULL ? link->queued_bytes : 0;
}

static void
peer_net_on_local (struct tevent_context *events, struct tevent_immediate *event, void *data)
{
  struct PeerLocal *local = data;
  struct PeerNet *net = local->net;

  (void)events;
  net->options.received (net->options.data, PEER_LINK_SELF, net->instance, local->message);
  talloc_free (local);
  talloc_free (event);
}

/* Delivers a copy of message later from the loop, as if received over a link, so that no module is
 * re-entered from inside its own call. */
static int32_t
peer_net_send_local (struct PeerNet *net, const struct PeerMessage *message)
{
  struct PeerLocal *local = talloc_zero (net, struct PeerLocal);
  struct tevent_immediate *event = tevent_create_immediate (net);
  uint8_t *frame = NULL;
  size_t n_bytes;
  int32_t error = ERROR_NO_MEMORY;

  if (local == NULL || event == NULL)
    goto fail;
  local->net = net;
  error = peer_message_pack (local, message, &frame, &n_bytes);
  if (error != ERROR_NONE)
    goto fail;
  error = peer_message_unpack (local, frame + FRAME_LENGTH_BYTES, n_bytes - FRAME_LENGTH_BYTES,
                               &local->message);
  if (error != ERROR_NONE)
    goto fail;
  talloc_free (frame);
  tevent_schedule_immediate (event, net->events, peer_net_on_local, local);
  return ERROR_NONE;

fail:
  talloc_free (local);
  talloc_free (event);
  return error;
}

int32_t
peer_net_send (struct PeerNet *net, uint64_t link_id, const struct PeerMessage *message)
{
  struct PeerLink *link;

  if (link_id == PEER_LINK_SELF)
    return peer_net_send_local (net, message);
  link = peer_net_find_link (net, link_id);
  if (link == NULL)
    return ERROR_UNREACHABLE;
  return peer_link_send (link, message);
}
