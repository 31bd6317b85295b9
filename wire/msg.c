#include "wire/msg.h"

#include <string.h>

typedef struct {
    const char *name;
    xdrproc_t args;
    xdrproc_t results;
} msg_row;

static const msg_row msg_rows[MSG_COUNT] = {
#define X(name, lower)                                                        \
    {#lower, (xdrproc_t)xdr_lc_##lower##_args,                                \
     (xdrproc_t)xdr_lc_##lower##_res},
    MSG_LIST(X)
#undef X
};

#define RPC_VERSION 2
#define LAST_FRAGMENT 0x80000000U

bool
Msg_SameNode(const lc_node *a, const lc_node *b)
{
    return a->address == b->address && a->incarnation == b->incarnation;
}

guint
Msg_HashNode(gconstpointer node)
{
    const lc_node *key = node;
    uint64_t both = key->address * 31 + key->incarnation;

    return g_int64_hash(&both);
}

gboolean
Msg_EqualNodes(gconstpointer a, gconstpointer b)
{
    return Msg_SameNode(a, b);
}

bool
Msg_HasNode(const GArray *nodes, const lc_node *node)
{
    guint i;

    for (i = 0; i < nodes->len; i++) {
        if (Msg_SameNode(&g_array_index(nodes, lc_node, i), node)) {
            return true;
        }
    }
    return false;
}

const char *
Msg_Name(Msg_Kind kind)
{
    return msg_rows[kind].name;
}

/* Appends a record mark and `size` bytes to `out` and opens an XDR stream over
 * those bytes. */
static void
open_record(GByteArray *out, size_t size, XDR *xdr)
{
    guint start = out->len;
    uint32_t mark = htonl(LAST_FRAGMENT | (uint32_t)size);

    g_byte_array_set_size(out, start + MSG_MARK_SIZE + (guint)size);
    memcpy(out->data + start, &mark, MSG_MARK_SIZE);
    xdrmem_create(xdr, (char *)out->data + start + MSG_MARK_SIZE, (u_int)size,
                  XDR_ENCODE);
}

static void
write_record(GByteArray *out, xdrproc_t header_proc, struct rpc_msg *header,
             xdrproc_t body_proc, const void *body)
{
    XDR xdr;
    /* XDR filters take no const, but only read their object when encoding. */
    void *mutable_body = (void *)(uintptr_t)body;
    size_t size = xdr_sizeof(header_proc, header);

    if (body_proc != NULL) {
        size += xdr_sizeof(body_proc, mutable_body);
    }
    open_record(out, size, &xdr);
    header_proc(&xdr, header);
    if (body_proc != NULL) {
        body_proc(&xdr, mutable_body);
    }
    xdr_destroy(&xdr);
}

static bool_t
xdr_empty(XDR *xdr, void *unused)
{
    (void)xdr;
    (void)unused;
    return TRUE;
}

static void
write_call(uint32_t xid, rpcproc_t procedure, xdrproc_t proc, const void *body,
           GByteArray *out)
{
    struct rpc_msg header;

    memset(&header, 0, sizeof(header));
    header.rm_xid = xid;
    header.rm_direction = CALL;
    header.rm_call.cb_rpcvers = RPC_VERSION;
    header.rm_call.cb_prog = LC_PROGRAM;
    header.rm_call.cb_vers = LC_VERSION;
    header.rm_call.cb_proc = procedure;
    write_record(out, (xdrproc_t)xdr_callmsg, &header, proc, body);
}

void
Msg_EncodeCall(const Msg_Call *call, uint32_t xid, GByteArray *out)
{
    write_call(xid, (rpcproc_t)call->kind + 1, msg_rows[call->kind].args,
               &call->u, out);
}

void
Msg_EncodePing(uint32_t xid, GByteArray *out)
{
    write_call(xid, 0, NULL, NULL, out);
}

static void
write_reply(uint32_t xid, enum accept_stat stat, xdrproc_t proc,
            const void *body, GByteArray *out)
{
    struct rpc_msg header;

    memset(&header, 0, sizeof(header));
    header.rm_xid = xid;
    header.rm_direction = REPLY;
    header.rm_reply.rp_stat = MSG_ACCEPTED;
    header.acpted_rply.ar_stat = stat;
    header.acpted_rply.ar_vers.low = LC_VERSION;
    header.acpted_rply.ar_vers.high = LC_VERSION;
    if (stat == SUCCESS) {
        header.acpted_rply.ar_results.where = NULL;
        header.acpted_rply.ar_results.proc = (xdrproc_t)xdr_empty;
    }
    write_record(out, (xdrproc_t)xdr_replymsg, &header, proc, body);
}

void
Msg_EncodeReply(const Msg_Reply *reply, uint32_t xid, GByteArray *out)
{
    write_reply(xid, SUCCESS, msg_rows[reply->kind].results, &reply->u, out);
}

void
Msg_EncodeNull(uint32_t xid, GByteArray *out)
{
    write_reply(xid, SUCCESS, NULL, NULL, out);
}

void
Msg_EncodeRefusal(uint32_t xid, enum accept_stat reason, GByteArray *out)
{
    write_reply(xid, reason, NULL, NULL, out);
}

static void
refuse(Msg_Record *record, enum accept_stat reason)
{
    record->type = MSG_IS_INVALID_CALL;
    record->refusal = reason;
}

#define QUEUE_ADDRESS_SIZE ((size_t)2 * BYTES_PER_XDR_UNIT)

/* Encoded sizes of the empty values of the fields that a later version has
 * appended to a message, or 0. Processes of both versions run together during
 * a rolling restart: a message without the fields decodes as if they were
 * empty. */
typedef struct {
    size_t args;
    size_t results;
} appended_sizes;

static appended_sizes
appended_to(Msg_Kind kind)
{
    static const appended_sizes sizes[MSG_COUNT] = {
        [MSG_RUN] = {.results = BYTES_PER_XDR_UNIT},   /* late_start_ms */
        [MSG_RUNS] = {.results = BYTES_PER_XDR_UNIT},  /* the same */
        [MSG_FENCE] = {.results = BYTES_PER_XDR_UNIT}, /* late_starts */
        [MSG_RENEW] = {.results = (size_t)2 * BYTES_PER_XDR_UNIT}, /* list */
        [MSG_GOSSIP] = {.args = BYTES_PER_XDR_UNIT, /* addresses */
                        .results = BYTES_PER_XDR_UNIT},
        [MSG_WITHDRAW] = {.args = QUEUE_ADDRESS_SIZE},
        [MSG_FORWARD] = {.args = QUEUE_ADDRESS_SIZE},
        [MSG_REPORT] = {.args = (size_t)3 * BYTES_PER_XDR_UNIT, /* late_* */
                        .results = BYTES_PER_XDR_UNIT},         /* version */
    };

    return sizes[kind];
}

/* Decodes a body into a zeroed object; on failure the object is zeroed. */
static bool
decode_body(xdrproc_t proc, const uint8_t *data, size_t length, void *object,
            size_t object_size)
{
    XDR xdr;
    bool_t parsed;

    xdrmem_create(&xdr, (char *)(uintptr_t)data, (u_int)length, XDR_DECODE);
    parsed = proc(&xdr, object);
    xdr_destroy(&xdr);
    if (!parsed) {
        xdr_free(proc, object);
        memset(object, 0, object_size);
    }
    return parsed;
}

/* As decode_body(), also for a body of an earlier version. */
static bool
decode_any_version(xdrproc_t proc, const uint8_t *data, size_t length,
                   size_t appended, void *object, size_t object_size)
{
    uint8_t *padded;
    bool parsed = decode_body(proc, data, length, object, object_size);

    if (parsed || appended == 0) {
        return parsed;
    }
    padded = g_malloc0(length + appended);
    memcpy(padded, data, length);
    parsed = decode_body(proc, padded, length + appended, object, object_size);
    g_free(padded);
    return parsed;
}

static void
decode_call(const uint8_t *body, size_t length, const struct call_body *header,
            Msg_Record *record)
{
    Msg_Call *call = &record->call;

    record->type = MSG_IS_CALL;
    if (header->cb_prog != LC_PROGRAM) {
        refuse(record, PROG_UNAVAIL);
        return;
    }
    if (header->cb_vers != LC_VERSION) {
        refuse(record, PROG_MISMATCH);
        return;
    }
    if (header->cb_proc == 0) {
        record->type = MSG_IS_NULL;
        return;
    }
    if (header->cb_proc > MSG_COUNT) {
        refuse(record, PROC_UNAVAIL);
        return;
    }
    call->kind = (Msg_Kind)(header->cb_proc - 1);
    if (!decode_any_version(msg_rows[call->kind].args, body, length,
                            appended_to(call->kind).args, &call->u,
                            sizeof(call->u))) {
        refuse(record, GARBAGE_ARGS);
    }
}

static void
decode_reply(XDR *xdr, const struct rpc_msg *header, Msg_Record *record)
{
    if (header->rm_reply.rp_stat != MSG_ACCEPTED ||
        header->acpted_rply.ar_stat != SUCCESS) {
        record->type = MSG_IS_DENIED;
        return;
    }
    record->type = MSG_IS_REPLY;
    record->body = xdr_getpos(xdr);
}

void
Msg_Decode(const uint8_t *data, size_t length, Msg_Record *record)
{
    struct rpc_msg header;
    uint32_t direction = 0;
    char credentials[MAX_AUTH_BYTES];
    char verifier[MAX_AUTH_BYTES];
    bool_t parsed;
    XDR xdr;

    memset(record, 0, sizeof(*record));
    record->type = MSG_IS_NOT_RPC;
    if (length < 8) {
        return;
    }
    memset(&header, 0, sizeof(header));
    memcpy(&direction, data + 4, sizeof(direction));
    direction = ntohl(direction);
    xdrmem_create(&xdr, (char *)(uintptr_t)data, (u_int)length, XDR_DECODE);
    if (direction == CALL) {
        header.rm_call.cb_cred.oa_base = credentials;
        header.rm_call.cb_verf.oa_base = verifier;
        parsed = xdr_callmsg(&xdr, &header);
    }
    else {
        header.acpted_rply.ar_verf.oa_base = verifier;
        header.acpted_rply.ar_results.proc = (xdrproc_t)xdr_empty;
        parsed = xdr_replymsg(&xdr, &header);
    }
    record->xid = header.rm_xid;
    if (parsed && direction == CALL) {
        decode_call(data + xdr_getpos(&xdr), length - xdr_getpos(&xdr),
                    &header.rm_call, record);
    }
    else if (parsed) {
        decode_reply(&xdr, &header, record);
    }
    xdr_destroy(&xdr);
}

bool
Msg_DecodeReply(Msg_Kind kind, const uint8_t *data, size_t length,
                Msg_Reply *reply)
{
    memset(reply, 0, sizeof(*reply));
    reply->kind = kind;
    return decode_any_version(msg_rows[kind].results, data, length,
                              appended_to(kind).results, &reply->u,
                              sizeof(reply->u));
}

void
Msg_FreeCall(Msg_Call *call)
{
    xdr_free(msg_rows[call->kind].args, &call->u);
    memset(&call->u, 0, sizeof(call->u));
}

void
Msg_FreeReply(Msg_Reply *reply)
{
    xdr_free(msg_rows[reply->kind].results, &reply->u);
    memset(&reply->u, 0, sizeof(reply->u));
}

void
Msg_EncodeDurableRecord(const lc_kept_record *record, GByteArray *out)
{
    /* XDR filters take no const, but only read their object when encoding. */
    lc_kept_record *body = (lc_kept_record *)(uintptr_t)record;
    size_t size = xdr_sizeof((xdrproc_t)xdr_lc_kept_record, body);
    guint start = out->len;
    XDR xdr;

    g_byte_array_set_size(out, start + (guint)size);
    xdrmem_create(&xdr, (char *)out->data + start, (u_int)size, XDR_ENCODE);
    xdr_lc_kept_record(&xdr, body);
    xdr_destroy(&xdr);
}

/* Decodes a record that has no queue_address. Bytes are left over if it was
 * cut off within that field. */
static bool
decode_earlier_record(const uint8_t *data, size_t length,
                      lc_kept_record *record)
{
    uint8_t *padded = g_malloc0(length + QUEUE_ADDRESS_SIZE);
    bool read;
    XDR xdr;

    memcpy(padded, data, length);
    xdrmem_create(&xdr, (char *)padded, (u_int)(length + QUEUE_ADDRESS_SIZE),
                  XDR_DECODE);
    read = xdr_lc_kept_record(&xdr, record) &&
           xdr_getpos(&xdr) == length + QUEUE_ADDRESS_SIZE;
    xdr_destroy(&xdr);
    g_free(padded);
    return read;
}

bool
Msg_DecodeDurableRecord(const uint8_t *data, size_t length,
                        lc_kept_record *record)
{
    bool read;

    memset(record, 0, sizeof(*record));
    read = decode_body((xdrproc_t)xdr_lc_kept_record, data, length, record,
                       sizeof(*record)) ||
           decode_earlier_record(data, length, record);
    if (!read) {
        Msg_FreeDurableRecord(record);
    }
    return read;
}

void
Msg_FreeDurableRecord(lc_kept_record *record)
{
    xdr_free((xdrproc_t)xdr_lc_kept_record, (char *)record);
    memset(record, 0, sizeof(*record));
}
