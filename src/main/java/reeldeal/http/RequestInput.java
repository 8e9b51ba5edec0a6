package reeldeal.http;

/**
 * The requests that a connection has read, at least in part, and not passed on yet. Counts their
 * memory against the server's budget. Owned by the connection and used on its event loop.
 */
final class RequestInput {
    private final MemoryBudget memory;
    private final ArrivalTimes arrivals = new ArrivalTimes();
    private final PipelinedRejections rejections = new PipelinedRejections();
    private HttpParser parser = new HttpParser(false);
    private boolean countsMemory;

    RequestInput(MemoryBudget memory) {
        this.memory = memory;
    }

    /** Begins to count the memory of this input. */
    void countMemory() {
        countsMemory = true;
        memory.adjust(parser.bufferedBytes());
    }

    /** Ends the counting of the memory of this input. */
    void releaseMemory() {
        if (countsMemory) {
            countsMemory = false;
            memory.adjust(-parser.bufferedBytes());
        }
    }

    private void adjustMemory(int bufferedBefore) {
        if (countsMemory) {
            memory.adjust(parser.bufferedBytes() - bufferedBefore);
        }
    }

    /** Adds bytes that arrived at a time. Rejects the requests for which there is no memory. */
    void add(byte[] bytes, long arrivedAt) {
        int bufferedBefore = parser.bufferedBytes();
        parser.feed(bytes, 0, bytes.length);
        arrivals.add(bytes.length, arrivedAt);
        adjustMemory(bufferedBefore);
        if (memory.isExceeded() && parser.bufferedBytes() > bufferedBefore) {
            // Many slow or large messages must not use up the memory that other requests need.
            rejectBuffered();
            rejectIncomplete();
        }
    }

    /** Whether bytes of an incomplete message, or of one that is not taken yet, are buffered. */
    boolean inMessage() {
        return parser.inMessage();
    }

    /** Whether a request was read, at least in part, that has no response. */
    boolean isUnanswered() {
        return parser.inMessage() || hasRejections();
    }

    boolean hasRejections() {
        return !rejections.isEmpty();
    }

    /** Whether what the client sends from now on is no request that could be answered. */
    boolean endsInput() {
        return rejections.endsInput();
    }

    /** Whether there is room for more before the next request is taken. */
    boolean acceptsMore() {
        return parser.acceptsMore();
    }

    /** Parses what has been read, up to the end of the next request. */
    HttpParser.Result next() {
        int bufferedBefore = parser.bufferedBytes();
        HttpParser.Result result = parser.next();
        adjustMemory(bufferedBefore);
        return result;
    }

    /** Returns when the last byte of the request that was taken last arrived. */
    long takenArrivedAt() {
        return arrivals.takeParsed(parser.unparsedBytes());
    }

    /**
     * Rejects all complete requests in the buffer, in their turn. Far more was pipelined than any
     * client needs: left unread, it would hide a disconnect of the client, and buffered, it would
     * fill the memory.
     */
    void rejectBuffered() {
        int bufferedBefore = parser.bufferedBytes();
        rejections.takeAll(parser);
        parser.trimBuffer();
        adjustMemory(bufferedBefore);
    }

    /** Rejects, in its turn, the request that is still being read if there is no memory for it. */
    private void rejectIncomplete() {
        if (!rejections.endsInput() && parser.inMessage() && memory.isExceeded()) {
            rejections.addLast();
            replaceParser();
        }
    }

    /** Removes the first rejected request; returns whether its response keeps the connection. */
    boolean removeRejection() {
        return rejections.removeFirst();
    }

    /** Frees what is buffered, because no further request will be answered. */
    void discardAll() {
        rejections.clear();
        replaceParser();
    }

    private void replaceParser() {
        int bufferedBefore = parser.bufferedBytes();
        parser = new HttpParser(false);
        adjustMemory(bufferedBefore);
    }

    /** Returns the reason for rejecting a request without passing it on. */
    byte[] rejectionReason() {
        return memory.isExceeded() ? ResponseTexts.OVERLOADED : ResponseTexts.TOO_MANY_PIPELINED;
    }
}
