package org.oleanderspring.standin.engine;

import java.time.Duration;

/**
 * Simulated durations of loads and unloads.
 *
 * @param fromMemory the load of a model from the memory of the VM
 * @param fromDisk the load of a model from the disk of the VM
 * @param fromStore the load of a model from the weight store at full speed
 * @param adapter the load of an adapter from any source, at full speed
 * @param unload the unload of a model or adapter
 */
public record SimulatedLoadTimes(
        Duration fromMemory,
        Duration fromDisk,
        Duration fromStore,
        Duration adapter,
        Duration unload) {}
