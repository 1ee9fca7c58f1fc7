package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The count itself, without connections. */
class MemoryBudgetTest {
    private static final int LIMIT = 100_000;
    private static final int REQUEST_LIMIT = 75_000;
    private static final int LARGE = 50_000;
    private final MemoryBudget budget = new MemoryBudget(LIMIT, Runnable::run);

    @Test
    void requestsLeaveRoomForResponses() {
        MemoryBudget.Account request = budget.openRequest();
        assertTrue(request.tryGrow(REQUEST_LIMIT));
        assertFalse(request.tryGrow(1));
        assertTrue(budget.openResponse().tryGrow(LIMIT - REQUEST_LIMIT));
        assertEquals(LIMIT, budget.used());
    }

    @Test
    void smallMessagesPassWithoutRoom() {
        budget.openResponse().grow(LIMIT);
        MemoryBudget.Account small = budget.openRequest();
        assertTrue(small.tryGrow(MemoryBudget.ACCOUNT_ALLOWANCE_BYTES));
        assertFalse(small.tryGrow(1));
        assertFalse(budget.openRequest().growWithinLimit(1), "no allowance");
    }

    /** Very many small messages, each within its allowance, held several times the budget together. */
    @Test
    void smallMessagesHeldMoreThanTheHeapTogether() {
        int passed = 0;
        while (passed < LIMIT && budget.openResponse().tryGrow(MemoryBudget.ACCOUNT_ALLOWANCE_BYTES)) {
            passed++;
        }
        assertTrue(budget.used() > LIMIT, "beyond the limit: " + budget);
        assertTrue(budget.used() <= LIMIT / 2 * 3, "half of the budget beyond it: " + budget);
        assertFalse(budget.openRequest().tryGrow(1));
    }

    @Test
    void closedAccountHoldsNothing() {
        MemoryBudget.Account account = budget.openRequest();
        account.grow(LARGE);
        account.shrink(1);
        account.close();
        account.close();
        account.grow(LARGE);
        assertEquals(0, budget.used());
    }

    /** A large response at the head of the line must not be overtaken for ever by smaller ones. */
    @Test
    void waitersResumeInTheirOrderWhenThereIsRoom() {
        List<String> resumed = new ArrayList<>();
        MemoryBudget.Account first = budget.openResponse();
        MemoryBudget.Account second = budget.openResponse();
        first.grow(LARGE);
        second.grow(LARGE);
        budget.awaitRoom(() -> budget.openResponse().tryGrow(LIMIT) && resumed.add("large"));
        budget.awaitRoom(() -> budget.openResponse().tryGrow(LARGE / 2) && resumed.add("small"));
        first.close();
        assertEquals(List.of(), resumed);
        second.close();
        assertEquals(List.of("large"), resumed);
    }

    @Test
    void limitFollowsTheHeapAndTheProcessLimit() {
        long mb = 1 << 20;
        assertEquals(37 * mb, MemoryBudget.of(80 * mb, 192, Runnable::run).limit());
        assertEquals(29 * mb, MemoryBudget.of(80 * mb, 96, Runnable::run).limit());
        assertEquals(3 * mb, MemoryBudget.of(12 * mb, 192, Runnable::run).limit());
        assertEquals(2 * mb, MemoryBudget.of(80 * mb, 32, Runnable::run).limit(), "the smallest");
    }
}
