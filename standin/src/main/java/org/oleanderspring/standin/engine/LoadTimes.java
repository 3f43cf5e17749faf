package org.oleanderspring.standin.engine;

import java.time.Duration;

/**
 * How long the engine takes to load and unload.
 *
 * @param fromMemory a model from the VM's memory
 * @param fromDisk a model from the VM's disk
 * @param fromStore a model from the weight store at full speed
 * @param adapter an adapter from anywhere, at full speed
 * @param unload removing a model or an adapter
 */
public record LoadTimes(
        Duration fromMemory,
        Duration fromDisk,
        Duration fromStore,
        Duration adapter,
        Duration unload) {}
