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
 * An event loop on the agenda's clock, one for each process of a rehearsal. A wake-up is one input, or all
 * that have piled up while it was paused, followed by the timers that are due and every task these leave.
 */
public final class VirtualLoop extends AbstractScheduledEventExecutor implements EventLoop {
    private final Agenda agenda;
    private final Consumer<Throwable> slips;
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
            return agenda.now();
        }

        @Override
        public void sleep(long delay, TimeUnit unit) {
            throw new UnsupportedOperationException("nothing sleeps on a virtual clock");
        }
    };
    private final Promise<Void> termination = new DefaultPromise<>(this);
    private boolean paused;
    private long pausedAt;
    private long resumedAt = Long.MIN_VALUE;
    private boolean ended;
    private boolean running;
    /** The earliest wake-up that is entered for timers; MAX_VALUE if none is. */
    private long armed = Long.MAX_VALUE;

    /** slips hears of what tasks throw; the loop goes on, as real ones do. */
    public VirtualLoop(Agenda agenda, Consumer<Throwable> slips) {
        this.agenda = agenda;
        this.slips = slips;
        this.source = agenda.source();
    }

    /** What a socket brings: a wake-up, or one more thing that waits while the process stands still. */
    public void input(Runnable input) {
        if (!ended) {
            inputs.add(input);
            wake();
        }
    }

    /** Stops the process as SIGSTOP does, or lets it go on. */
    public void pause(boolean on) {
        paused = on;
        if (on) {
            pausedAt = agenda.now();
        } else {
            resumedAt = agenda.now();
            agenda.at(agenda.now(), source, this::wake);
        }
    }

    /** How long what is read now may have waited, in ns: since the beginning of a pause that has just ended. */
    public long unreadNs() {
        return agenda.now() == resumedAt ? resumedAt - pausedAt : 0;
    }

    /** Ends the process as SIGKILL does: nothing that it meant to do happens any more. */
    public void end() {
        ended = true;
        inputs.clear();
        tasks.clear();
        cancelScheduledTasks();
    }

    public boolean ended() {
        return ended;
    }

    private void wake() {
        if (running || paused || ended) {
            return; // what came is seen in the wake-up that is under way, or when it goes on
        }
        running = true;
        while (!ended && !paused && (!inputs.isEmpty() || !tasks.isEmpty() || timersDue())) {
            for (Runnable i = inputs.poll(); i != null && !ended; i = inputs.poll()) {
                guarded(i);
            }
            fetchTimers();
            // Only those that are there now: sockets are looked at in between, as a real loop does.
            for (int n = tasks.size(); n > 0 && !ended && !tasks.isEmpty(); n--) {
                guarded(tasks.remove());
            }
        }
        running = false;
        arm();
    }

    private void guarded(Runnable r) {
        try {
            r.run();
        } catch (RuntimeException | Error e) {
            slips.accept(e);
        }
    }

    /** The library keeps to itself, in a future, what a timer's task throws. */
    private Runnable heard(Runnable command) {
        return () -> {
            try {
                command.run();
            } catch (RuntimeException | Error e) {
                slips.accept(e);
                throw e;
            }
        };
    }

    private boolean timersDue() {
        long next = nextScheduledTaskDeadlineNanos();
        return next >= 0 && next <= agenda.now();
    }

    private void fetchTimers() {
        for (Runnable r = pollScheduledTask(agenda.now()); r != null; r = pollScheduledTask(agenda.now())) {
            tasks.add(r);
        }
    }

    private void arm() {
        long next = nextScheduledTaskDeadlineNanos();
        if (!ended && next >= 0 && next < armed) {
            armed = next;
            agenda.at(next, source, () -> {
                if (armed == next) {
                    armed = Long.MAX_VALUE;
                }
                wake();
            });
        }
    }

    @Override
    public void execute(Runnable task) {
        if (ended) {
            return;
        }
        tasks.add(task);
        if (!running) {
            agenda.at(agenda.now(), source, this::wake);
        }
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
        ScheduledFuture<?> f = super.schedule(heard(command), delay, unit);
        armIfIdle();
        return f;
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> command, long delay, TimeUnit unit) {
        ScheduledFuture<V> f = super.schedule(
                () -> {
                    try {
                        return command.call();
                    } catch (Exception | Error e) {
                        slips.accept(e);
                        throw e;
                    }
                },
                delay,
                unit);
        armIfIdle();
        return f;
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(Runnable command, long first, long period, TimeUnit unit) {
        ScheduledFuture<?> f = super.scheduleAtFixedRate(heard(command), first, period, unit);
        armIfIdle();
        return f;
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(Runnable command, long first, long delay, TimeUnit unit) {
        ScheduledFuture<?> f = super.scheduleWithFixedDelay(heard(command), first, delay, unit);
        armIfIdle();
        return f;
    }

    private void armIfIdle() {
        if (!running) {
            arm();
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

    /** There is one thread, and it is in whatever loop runs. */
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
        throw new UnsupportedOperationException("a virtual loop is ended, not shut down");
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
        return ended;
    }

    @Override
    public boolean isShutdown() {
        return ended;
    }

    @Override
    public boolean isTerminated() {
        return ended;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return ended;
    }
}
