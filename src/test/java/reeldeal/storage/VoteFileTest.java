package reeldeal.storage;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** Tests that the term and vote survive restarts. */
public class VoteFileTest {
    @Rule public final TemporaryFolder directory = new TemporaryFolder();

    private Path path;

    @Before
    public void setPath() {
        path = directory.getRoot().toPath();
    }

    private VoteFile recover() throws IOException {
        VoteFile file = new VoteFile(new DurableFiles(path));
        file.recover();
        return file;
    }

    @Test
    public void aNewDirectoryHasNoVote() throws IOException {
        assertEquals(0, recover().term());
        assertNull(recover().vote());
    }

    @Test
    public void theVoteIsReadAgain() throws IOException {
        recover().update(7, "b");
        assertEquals(7, recover().term());
        assertEquals("b", recover().vote());
    }

    @Test
    public void aTermWithoutVoteIsReadAgain() throws IOException {
        recover().update(7, "b");
        recover().update(8, null);
        assertEquals(8, recover().term());
        assertNull(recover().vote());
    }

    @Test
    public void aTruncatedFileIsCorrupt() throws IOException {
        recover().update(7, "b");
        byte[] bytes = Files.readAllBytes(path.resolve("promise"));
        Files.write(path.resolve("promise"), Arrays.copyOf(bytes, bytes.length - 1));
        assertThrows(CorruptDataException.class, this::recover);
    }
}
