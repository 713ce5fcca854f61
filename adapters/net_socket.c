#include <buckthornhead/net_socket.h>

#include <buckthornhead/clock.h>
#include <buckthornhead/counter.h>
#include <buckthornhead/log.h>
#include <buckthornhead/settings.h>

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  /* Exceeds the number of connections that arrive while the process waits to be scheduled: a full
   * queue drops the SYN, which the client retransmits only seconds later. */
  LISTEN_BACKLOG = 1024,
  SHORTAGE_LOG_PERIOD_MS = 10 * 1000
};

static bool
socket_address (const char *address, struct sockaddr_storage *storage, socklen_t *size)
{
  char ip[46];
  uint16_t port;
  struct sockaddr_in *v4 = (struct sockaddr_in *)storage;
  struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)storage;

  memset (storage, 0, sizeof *storage);
  if (address_parse (address, ip, &port) != ERROR_NONE)
    return false;
  if (inet_pton (AF_INET, ip, &v4->sin_addr) == 1)
    {
      v4->sin_family = AF_INET;
      v4->sin_port = htons (port);
      *size = sizeof *v4;
      return true;
    }
  if (inet_pton (AF_INET6, ip, &v6->sin6_addr) != 1)
    return false;
  v6->sin6_family = AF_INET6;
  v6->sin6_port = htons (port);
  *size = sizeof *v6;
  return true;
}

/* Binds a new socket to address, and listens if backlog is not 0. */
static int32_t
socket_bind (const char *address, const char *setting, int backlog, int *fd, struct Fault *fault)
{
  struct sockaddr_storage storage;
  socklen_t size;
  int one = 1;

  *fd = -1;
  if (!socket_address (address, &storage, &size))
    return fault_set (fault, ERROR_INVALID, "set it to IP:port", "%s is not a valid address: %s",
                      setting, address);
  *fd = socket (storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (*fd >= 0)
    setsockopt (*fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (*fd >= 0 && bind (*fd, (struct sockaddr *)&storage, size) == 0
      && (backlog == 0 || listen (*fd, backlog) == 0))
    return ERROR_NONE;
  fault_set (fault, error_from_errno (errno),
             "stop the process that uses the address, or change the setting",
             "cannot listen on %s (%s): %s", address, setting, strerror (errno));
  if (*fd >= 0)
    close (*fd);
  *fd = -1;
  return fault->error;
}

int32_t
net_listen (const char *address, const char *setting, int *fd, struct Fault *fault)
{
  return socket_bind (address, setting, LISTEN_BACKLOG, fd, fault);
}

int32_t
net_check_listen (const char *address, const char *setting, struct Fault *fault)
{
  int fd;
  int32_t error = socket_bind (address, setting, 0, &fd, fault);

  if (error == ERROR_NONE)
    close (fd);
  return error;
}

/* Returns whether an event may be logged, at most once in SHORTAGE_LOG_PERIOD_MS, and notes it. */
static bool
claim_log (_Atomic int64_t *logged_ms)
{
  int64_t now_ms = clock_monotonic_ms (), last_ms = atomic_load (logged_ms);

  if (last_ms != 0 && now_ms - last_ms < SHORTAGE_LOG_PERIOD_MS)
    return false;
  atomic_store (logged_ms, now_ms);
  return true;
}

static void
log_accept_failed (int error)
{
  static _Atomic int64_t logged_ms;

  counter_add (COUNTER_ACCEPTS_FAILED, 1);
  if (claim_log (&logged_ms))
    log_event (LOG_LEVEL_ERROR, "accept_failed", NULL,
               "raise the process's limit of descriptors, or lower [limits] connections", "%s",
               strerror (error));
}

/* Logs that a connection could not be opened because this process or its machine lacks something.
 */
static void
log_connect_failed (const char *address, int error)
{
  static _Atomic int64_t logged_ms;

  counter_add (COUNTER_CONNECTS_FAILED, 1);
  if (claim_log (&logged_ms))
    log_event (LOG_LEVEL_ERROR, "connect_failed", NULL,
               error == EADDRNOTAVAIL
                   ? "free local ports of the machine: fewer short connections, or a wider range"
                   : "raise the process's limit of descriptors, or lower [limits] connections",
               "%s: %s", address, strerror (error));
}

/* Returns whether error of socket or connect is a shortage here, which says nothing about the other
 * end. */
static bool
is_own_shortage (int error)
{
  return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM
         || error == EADDRNOTAVAIL;
}

static enum NetAccept
accept_failure (int error)
{
  switch (error)
    {
    case EAGAIN:
      return NET_ACCEPT_NONE;
    /* accept reports the errors of the new connection as its own. */
    case ECONNABORTED:
    case EHOSTDOWN:
    case EHOSTUNREACH:
    case EINTR:
    case ENETDOWN:
    case ENETUNREACH:
    case ENONET:
    case ENOPROTOOPT:
    case EOPNOTSUPP:
    case EPERM: /* rejected by the firewall */
    case EPROTO:
    case ETIMEDOUT:
      return NET_ACCEPT_ABORTED;
    default:
      log_accept_failed (error);
      return NET_ACCEPT_FAILED;
    }
}

enum NetAccept
net_accept (int listen_fd, int *fd)
{
  int one = 1;

  *fd = accept4 (listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (*fd < 0)
    return accept_failure (errno);
  setsockopt (*fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return NET_ACCEPTED;
}

int
net_socket (int family, const char *address)
{
  int fd = socket (family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0 && is_own_shortage (errno))
    log_connect_failed (address, errno);
  return fd;
}

int
net_connect (const char *address, uint32_t user_timeout_ms)
{
  struct sockaddr_storage storage;
  socklen_t size;
  int one = 1;
  int fd;

  if (!socket_address (address, &storage, &size))
    return -1;
  fd = net_socket (storage.ss_family, address);
  if (fd < 0)
    return -1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof user_timeout_ms);
  if (connect (fd, (struct sockaddr *)&storage, size) == 0 || errno == EINPROGRESS)
    return fd;
  if (is_own_shortage (errno))
    log_connect_failed (address, errno);
  close (fd);
  return -1;
}

int
net_connect_error (int fd)
{
  int error = 0;
  socklen_t size = sizeof error;

  if (getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
    return errno;
  return error;
}
