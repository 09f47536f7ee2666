/** Messages between instances, and the membership of the fleet. */
package io.mothrill.core.peer;
