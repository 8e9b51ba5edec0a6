package reeldeal.consensus;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;

import java.util.List;
import org.junit.Test;

/** Tests how a follower receives a snapshot in chunks. */
public class SnapshotTransferTest {
    private static final GroupConfiguration GROUP = GroupConfiguration.of("a", "b");
    private static final Message.SnapshotHeader HEADER = new Message.SnapshotHeader(9, 2, GROUP, 4);

    private final RaftNode follower =
            new RaftNode(
                    "b", RaftSettings.DEFAULT, RaftNode.PersistentState.fresh(GROUP), bound -> 0);

    private Ready receive(int offset, int... bytes) {
        byte[] data = new byte[bytes.length];
        for (int i = 0; i < bytes.length; i++) {
            data[i] = (byte) bytes[i];
        }
        follower.receive(new Message.SnapshotChunk("a", "b", 3, HEADER, offset, data));
        return follower.takeReady();
    }

    @Test
    public void aChunkIsAnsweredWithTheBytesReceived() {
        Ready ready = receive(0, 1, 2);
        assertNull(ready.install());
        assertEquals(List.of(new Message.SnapshotChunkResponse("b", "a", 3, 9, 2)), ready.messages);
    }

    @Test
    public void theLastChunkInstallsTheSnapshot() {
        receive(0, 1, 2);
        Ready ready = receive(2, 3, 4);
        assertArrayEquals(new byte[] {1, 2, 3, 4}, ready.install().data().toBytes());
        assertEquals(9, follower.commitIndex());
    }

    @Test
    public void aDuplicateChunkIsNotAppendedAgain() {
        receive(0, 1);
        receive(1, 2, 3);
        receive(1, 2, 3);
        assertArrayEquals(new byte[] {1, 2, 3, 4}, receive(3, 4).install().data().toBytes());
    }

    @Test
    public void theSnapshotIsAcknowledgedOnceItIsOnDisk() {
        Ready ready = receive(0, 1, 2, 3, 4);
        assertEquals(List.of(), ready.messages);
        follower.persisted(ready.persists.get(0).number());
        assertEquals(
                List.of(Message.AppendResponse.accepted("b", "a", 3, 9)),
                follower.takeReady().messages);
    }
}
