package reeldeal.storage;

import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** Tests which logs are rejected because they end before the mark. */
public class MarkFileTest {
    @Rule public final TemporaryFolder directory = new TemporaryFolder();

    private Path path;

    @Before
    public void markTwice() throws IOException {
        path = directory.getRoot().toPath();
        try (MarkFile mark = new MarkFile(new DurableFiles(path))) {
            mark.recover(0, 0);
            mark.write(0, 5);
            mark.write(0, 9);
        }
    }

    private void recover(long epoch, long lastIndex) throws IOException {
        try (MarkFile mark = new MarkFile(new DurableFiles(path))) {
            mark.recover(epoch, lastIndex);
        }
    }

    @Test
    public void aLogUpToTheMarkHasLostNothing() throws IOException {
        recover(0, 9);
        assertTrue(Files.exists(path.resolve("mark")));
    }

    @Test
    public void aLogThatEndsBeforeTheLatestMarkIsCorrupt() {
        assertThrows(CorruptDataException.class, () -> recover(0, 8));
    }

    @Test
    public void theMarkOfAnEarlierEpochIsIgnored() throws IOException {
        recover(1, 3);
        assertThrows(CorruptDataException.class, () -> recover(0, 3));
    }

    @Test
    public void aTornSlotLeavesTheEarlierMark() throws IOException {
        byte[] bytes = Files.readAllBytes(path.resolve("mark"));
        bytes[20] ^= 1; // the second mark was written to the first slot
        Files.write(path.resolve("mark"), bytes);
        recover(0, 5);
        assertThrows(CorruptDataException.class, () -> recover(0, 4));
    }
}
