package gullspar.rehearse.time;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.AbstractScheduledEventExecutor;
import io.netty.util.concurrent.DefaultPromise;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import io.netty.util.concurrent.ScheduledFuture;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * An event loop in virtual time, one for each process of a rehearsal. A wake-up runs one input, or all that were
 * queued while it was paused, then the timers that are due and every task that these submit.
 */
public final class VirtualLoop extends AbstractScheduledEventExecutor implements EventLoop {
    private final EventQueue eventQueue;
    private final Consumer<Throwable> errorHandler;
    private final int source;
    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private final Queue<Runnable> inputs = new ArrayDeque<>();
    private final Ticker ticker = new Ticker() {
        @Override
        public long initialNanoTime() {
            return 0;
        }

        @Override
        public long nanoTime() {
            return eventQueue.now();
        }

        @Override
        public void sleep(long delay, TimeUnit unit) {
            throw new UnsupportedOperationException("cannot sleep on a virtual clock");
        }
    };
    private final Promise<Void> termination = new DefaultPromise<>(this);
    private boolean paused;
    private long pausedAtNs;
    private long resumedAtNs = Long.MIN_VALUE;
    private boolean hasEnded;
    private boolean running;
    /** The earliest wake-up scheduled for timers; MAX_VALUE if there is none. */
    private long armedForNs = Long.MAX_VALUE;

    /** errorHandler: receives what tasks throw; the loop continues, as real event loops do. */
    public VirtualLoop(EventQueue eventQueue, Consumer<Throwable> errorHandler) {
        this.eventQueue = eventQueue;
        this.errorHandler = errorHandler;
        this.source = eventQueue.newSource();
    }

    /** Adds input from a socket and wakes the loop; it stays queued while the process is paused. */
    public void addInput(Runnable input) {
        if (!hasEnded) {
            inputs.add(input);
            wake();
        }
    }

    /** Pauses the process as SIGSTOP does, or resumes it. */
    public void pause(boolean on) {
        paused = on;
        if (on) {
            pausedAtNs = eventQueue.now();
        } else {
            resumedAtNs = eventQueue.now();
            eventQueue.schedule(eventQueue.now(), source, this::wake);
        }
    }

    /** Maximum time that input read now may have waited: the length of a pause that has just ended, else 0. */
    public long inputDelayNs() {
        return eventQueue.now() == resumedAtNs ? resumedAtNs - pausedAtNs : 0;
    }

    /** Ends the process as SIGKILL does: pending inputs, tasks and timers are discarded. */
    public void end() {
        hasEnded = true;
        inputs.clear();
        tasks.clear();
        cancelScheduledTasks();
    }

    public boolean hasEnded() {
        return hasEnded;
    }

    private void wake() {
        if (running || paused || hasEnded) {
            return; // the input is handled by the current wake-up, or on resumption
        }
        running = true;
        while (!hasEnded && !paused && (!inputs.isEmpty() || !tasks.isEmpty() || hasDueTimers())) {
            for (Runnable i = inputs.poll(); i != null && !hasEnded; i = inputs.poll()) {
                runGuarded(i);
            }
            moveDueTimers();
            // Only the tasks queued now: inputs are polled in between, as a real loop does.
            for (int n = tasks.size(); n > 0 && !hasEnded && !tasks.isEmpty(); n--) {
                runGuarded(tasks.remove());
            }
        }
        running = false;
        armTimer();
    }

    private void runGuarded(Runnable r) {
        try {
            r.run();
        } catch (RuntimeException | Error e) {
            errorHandler.accept(e);
        }
    }

    /** Reports what a timer's task throws, which Netty would keep only in the future. */
    private Runnable reportingErrors(Runnable command) {
        return () -> {
            try {
                command.run();
            } catch (RuntimeException | Error e) {
                errorHandler.accept(e);
                throw e;
            }
        };
    }

    private boolean hasDueTimers() {
        long next = nextScheduledTaskDeadlineNanos();
        return next >= 0 && next <= eventQueue.now();
    }

    private void moveDueTimers() {
        for (Runnable r = pollScheduledTask(eventQueue.now()); r != null; r = pollScheduledTask(eventQueue.now())) {
            tasks.add(r);
        }
    }

    private void armTimer() {
        long next = nextScheduledTaskDeadlineNanos();
        if (!hasEnded && next >= 0 && next < armedForNs) {
            armedForNs = next;
            eventQueue.schedule(next, source, () -> {
                if (armedForNs == next) {
                    armedForNs = Long.MAX_VALUE;
                }
                wake();
            });
        }
    }

    @Override
    public void execute(Runnable task) {
        if (hasEnded) {
            return;
        }
        tasks.add(task);
        if (!running) {
            eventQueue.schedule(eventQueue.now(), source, this::wake);
        }
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
        ScheduledFuture<?> f = super.schedule(reportingErrors(command), delay, unit);
        armTimerIfIdle();
        return f;
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> command, long delay, TimeUnit unit) {
        ScheduledFuture<V> f = super.schedule(
                () -> {
                    try {
                        return command.call();
                    } catch (Exception | Error e) {
                        errorHandler.accept(e);
                        throw e;
                    }
                },
                delay,
                unit);
        armTimerIfIdle();
        return f;
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(Runnable command, long first, long period, TimeUnit unit) {
        ScheduledFuture<?> f = super.scheduleAtFixedRate(reportingErrors(command), first, period, unit);
        armTimerIfIdle();
        return f;
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(Runnable command, long first, long delay, TimeUnit unit) {
        ScheduledFuture<?> f = super.scheduleWithFixedDelay(reportingErrors(command), first, delay, unit);
        armTimerIfIdle();
        return f;
    }

    private void armTimerIfIdle() {
        if (!running) {
            armTimer();
        }
    }

    @Override
    public Ticker ticker() {
        return ticker;
    }

    @Override
    public EventLoopGroup parent() {
        return this;
    }

    @Override
    public EventLoop next() {
        return this;
    }

    @Override
    public ChannelFuture register(Channel channel) {
        return register(new DefaultChannelPromise(channel, this));
    }

    @Override
    public ChannelFuture register(ChannelPromise promise) {
        promise.channel().unsafe().register(this, promise);
        return promise;
    }

    @Override
    @Deprecated
    public ChannelFuture register(Channel channel, ChannelPromise promise) {
        channel.unsafe().register(this, promise);
        return promise;
    }

    /** Always true: one thread runs all loops. */
    @Override
    public boolean inEventLoop() {
        return true;
    }

    @Override
    public boolean inEventLoop(Thread thread) {
        return true;
    }

    @Override
    public Future<?> shutdownGracefully(long quietPeriod, long timeout, TimeUnit unit) {
        throw new UnsupportedOperationException("a virtual loop has no graceful shutdown; use end()");
    }

    @Override
    public Future<?> terminationFuture() {
        return termination;
    }

    @Override
    @Deprecated
    public void shutdown() {
        end();
    }

    @Override
    public boolean isShuttingDown() {
        return hasEnded;
    }

    @Override
    public boolean isShutdown() {
        return hasEnded;
    }

    @Override
    public boolean isTerminated() {
        return hasEnded;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return hasEnded;
    }
}
